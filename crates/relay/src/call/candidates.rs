//! Engines that may serve a request.

use monsoonspread_decisions::load_choice::KeptPrompt;
use monsoonspread_model::UpstreamName;
use monsoonspread_model::fleet::AdapterKey;

use super::request::RelayRequest;
use crate::shared::Shared;

/// Engines that may serve the request, best first.
pub(super) fn candidates(
    shared: &Shared,
    request: &RelayRequest,
    key: &AdapterKey,
) -> Vec<UpstreamName> {
    let now = shared.now();
    let placement = shared.placement.borrow();
    let fleet = shared.fleet.borrow();
    let ready: Vec<&UpstreamName> = fleet.ready(&request.service).map(|up| &up.name).collect();
    let (mut names, copies) = match &key.adapter {
        Some(adapter) => {
            let is_ready = |name: &UpstreamName| ready.contains(&name);
            let names = placement.candidates_among(now, adapter, is_ready);
            (names, placement.copies(now, adapter))
        }
        // Every engine has the base model.
        None => (ready.iter().copied().cloned().collect(), ready.len()),
    };
    let home = request.head.shared_prompt().and_then(|prompt| {
        let adapter = key.adapter.as_ref()?;
        if !KeptPrompt::matters(prompt.tokens) {
            return None;
        }
        let is_ready = |name: &UpstreamName| ready.contains(&name);
        let home = placement.prompt_home(now, adapter, prompt, is_ready)?;
        Some((home, prompt.tokens))
    });
    let kept = home.as_ref().map(|(upstream, tokens)| KeptPrompt {
        upstream,
        tokens: *tokens,
    });
    shared.loads.borrow().sort(now, &mut names, copies, kept);
    names
}
