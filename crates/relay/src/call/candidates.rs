//! Selection of the engines that may serve a request.

use std::rc::Rc;

use monsoonspread_decisions::copies::QuotedCopy;
use monsoonspread_decisions::load_choice::PromptCost;
use monsoonspread_model::fleet::{AdapterKey, CallHead, PromptPart};
use monsoonspread_model::{UnixMs, UpstreamName};

use super::request::RelayRequest;
use crate::holding::{QuoteList, collect_quotes};
use crate::shared::Shared;

/// Which engines to consider, by the permits for those with a rate limit.
#[derive(Clone, Copy, Debug)]
pub(super) enum Limits {
    /// Those whose permits can be used at once, or that need none.
    Available,
    /// Those at their limit whose next permit can be used by this time.
    AvailableBy(UnixMs),
}

/// Returns the engines that may serve the request, best first, after collecting load quotes from
/// the holders of a few of them.
pub(super) async fn candidates(
    shared: &Rc<Shared>,
    request: &RelayRequest,
    key: &AdapterKey,
    limits: Limits,
) -> Vec<UpstreamName> {
    let targets = quote_targets(shared, request, key, limits);
    let quoted = match targets.len() {
        0 | 1 => QuoteList::new(),
        _ => collect_quotes(shared, key, long_shared_parts(&request.head), &targets).await,
    };
    let now = shared.now();
    let ready = ready(shared, request, limits);
    let placement = shared.placement.borrow();
    let (mut names, copies) = match &key.adapter {
        Some(adapter) => {
            let is_ready = |name: &UpstreamName| ready.contains(name);
            let names = placement.candidates_among(now, adapter, is_ready);
            (names, placement.copies(now, adapter))
        }
        // Every engine serves the base model.
        None => (ready.clone(), ready.len()),
    };
    let preferred = preferred_engine(shared, request, key, &ready);
    let prompt = PromptCost {
        tokens: request.head.prompt_tokens,
        preferred_engine: preferred
            .as_ref()
            .map(|(upstream, tokens)| (upstream, *tokens)),
    };
    let loads = shared.loads.borrow();
    loads.sort(now, &mut names, copies, &quoted, prompt);
    if names.iter().any(|name| shared.has_limit(name)) {
        let required = required_engines(shared, request, key, copies);
        let lacks_copy =
            |name: &UpstreamName| shared.has_limit(name) && !has_copy(shared, key, name, &quoted);
        // Otherwise the adapters of an engine at its limit would move from one engine to the next.
        names.retain(|name| required.contains(name) || !lacks_copy(name));
        // An engine with a limit is not worth a load while others can take the request.
        names.sort_by_key(lacks_copy);
    }
    if let Some(index) = shared.suspects.isolation_index(now, request.fingerprint)
        && !names.is_empty()
    {
        // Instances agree on the order of names, but not on the order of loads.
        names.sort();
        let count = names.len();
        names.rotate_left(index % count);
    }
    names
}

/// Returns the leading prompt parts that other requests may share, or none if they are too short to
/// affect the choice of engine.
pub(super) fn long_shared_parts(head: &CallHead) -> &[PromptPart] {
    match (head.shared_prompt(), head.prompt_parts.split_last()) {
        (Some(prompt), Some((_last, shared))) if PromptCost::matters(prompt.tokens) => shared,
        _ => &[],
    }
}

/// Returns the engines on which the demand requires the `copies` of the request's adapter, whether or not
/// they have permits.
fn required_engines(
    shared: &Shared,
    request: &RelayRequest,
    key: &AdapterKey,
    copies: usize,
) -> Vec<UpstreamName> {
    let Some(adapter) = &key.adapter else {
        return Vec::new();
    };
    let in_service = in_service(shared, request);
    let is_ready = |name: &UpstreamName| in_service.contains(name);
    let placement = shared.placement.borrow();
    let mut engines = placement.candidates_among(shared.now(), adapter, is_ready);
    engines.truncate(copies.max(1));
    engines
}

/// Whether an engine has the copy, or is loading it.
fn has_copy(shared: &Shared, key: &AdapterKey, engine: &UpstreamName, quoted: &QuoteList) -> bool {
    if key.adapter.is_none() {
        return true;
    }
    let quote = quoted.iter().find(|(name, _)| name == engine);
    match quote {
        Some((_, quote)) => quote.copy != QuotedCopy::Absent,
        None => {
            let known = shared.known_copies.borrow();
            known.is_known(shared.now(), engine, key)
        }
    }
}

/// Returns the engines that accept requests now, apart from their limits.
fn in_service(shared: &Shared, request: &RelayRequest) -> Vec<UpstreamName> {
    let fleet = shared.fleet.borrow();
    let now = shared.now();
    let ready = fleet.ready(&request.service);
    let ready = ready.filter(|upstream| fleet.backoff_until(now, upstream).is_none());
    ready.map(|upstream| upstream.name.clone()).collect()
}

/// Returns the engines that accept requests now and are within `limits`.
fn ready(shared: &Shared, request: &RelayRequest, limits: Limits) -> Vec<UpstreamName> {
    let now = shared.now();
    let mut ready = in_service(shared, request);
    ready.retain(|name| {
        let exhausted_until = shared.permits.exhausted_until(now, name);
        match limits {
            Limits::Available => exhausted_until.is_none(),
            Limits::AvailableBy(latest) => exhausted_until.is_some_and(|until| until <= latest),
        }
    });
    ready
}

/// Returns the engines whose holders are queried for a quote.
fn quote_targets(
    shared: &Shared,
    request: &RelayRequest,
    key: &AdapterKey,
    limits: Limits,
) -> Vec<UpstreamName> {
    let Some(adapter) = &key.adapter else {
        return Vec::new();
    };
    let ready = ready(shared, request, limits);
    let is_ready = |name: &UpstreamName| ready.contains(name);
    let draw = shared.holding.next_number() as usize;
    let placement = shared.placement.borrow();
    let mut names = placement.compared(shared.now(), adapter, draw, is_ready);
    if let Some((preferred, _)) = preferred_engine(shared, request, key, &ready)
        && !names.contains(&preferred)
    {
        names.push(preferred);
    }
    names
}

/// Returns the engine that has probably cached the shared prompt prefix, and the prefix's length in
/// tokens; `None` if the prefix is too short to matter.
fn preferred_engine(
    shared: &Shared,
    request: &RelayRequest,
    key: &AdapterKey,
    ready: &[UpstreamName],
) -> Option<(UpstreamName, u32)> {
    let prompt = request.head.shared_prompt()?;
    let adapter = key.adapter.as_ref()?;
    if !PromptCost::matters(prompt.tokens) {
        return None;
    }
    let is_ready = |name: &UpstreamName| ready.contains(name);
    let placement = shared.placement.borrow();
    let preferred = placement.preferred_engine(shared.now(), adapter, prompt, is_ready)?;
    Some((preferred, prompt.tokens))
}
