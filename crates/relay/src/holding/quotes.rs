//! Load quotes of the engines that a request might be sent to.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use monsoonspread_decisions::copies::{EngineQuote, QuoteQuestion};
use monsoonspread_model::UpstreamName;
use monsoonspread_model::fleet::{AdapterKey, PromptPart};
use tokio::time::Instant;

use crate::peers::PeerRequest;
use crate::shared::Shared;

/// How long to wait for quotes, in milliseconds: a few round trips to another zone, and short
/// compared with any request's objective.
const QUOTE_WAIT_MS: u64 = 25;

/// Quotes received, by engine.
pub type QuoteList = Vec<(UpstreamName, EngineQuote)>;

/// Queries the holders of `engines` concurrently for the engines' load and for how much they have
/// cached of a prompt that begins with `shared_parts`. The first engine's holder counts the demand
/// for the adapter.
pub async fn collect_quotes(
    shared: &Rc<Shared>,
    key: &AdapterKey,
    shared_parts: &[PromptPart],
    engines: &[UpstreamName],
) -> QuoteList {
    let until = Instant::now() + Duration::from_millis(QUOTE_WAIT_MS);
    let min_version = shared.required_version(key);
    let asked = engines.iter().enumerate().filter(|(_, engine)| {
        let now = shared.now();
        !shared.loads.borrow().is_unresponsive(now, engine)
    });
    let questions = asked.map(|(rank, engine)| async move {
        let question = QuoteQuestion {
            key: key.clone(),
            min_version,
            shared_parts: shared_parts.to_vec(),
            counts_demand: rank == 0,
        };
        let quote = quote(shared, engine, question, until).await;
        (engine, quote)
    });
    let quotes = join_all(questions).await;
    for (_, quote) in &quotes {
        let outcome = if quote.is_some() { "told" } else { "missed" };
        shared.metrics.count("quotes", outcome);
    }
    let now = shared.now();
    let mut collected = QuoteList::new();
    for (engine, quote) in quotes {
        let mut loads = shared.loads.borrow_mut();
        loads.on_quote(now, engine, quote.as_ref());
        let Some(quote) = quote else { continue };
        collected.push((engine.clone(), quote));
        if let (Some(adapter), Some(per_s)) = (&key.adapter, quote.demand_per_s) {
            let mut placement = shared.placement.borrow_mut();
            placement.on_counted_demand(now, adapter, per_s.into());
        }
    }
    collected
}

async fn quote(
    shared: &Rc<Shared>,
    engine: &UpstreamName,
    question: QuoteQuestion,
    until: Instant,
) -> Option<EngineQuote> {
    let holding = &shared.holding;
    let holder = holding.holder(engine)?;
    if holder == shared.settings.instance {
        return holding.on_quote(shared.now(), engine, &question);
    }
    let address = shared.fleet.borrow().member(&holder)?;
    let number = holding.next_number();
    let question = PeerRequest::Quote {
        number,
        upstream: engine.clone(),
        question,
    };
    let peers = &shared.peers;
    peers.quote(&holder, address, number, question, until).await
}
