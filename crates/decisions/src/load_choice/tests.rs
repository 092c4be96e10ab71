use monsoonspread_model::{UnixMs, UpstreamName};

use super::{LoadChoice, PromptCost};
use crate::capacity::EnginePaces;
use crate::copies::{EngineQuote, QuotedCopy};

/// A burst of requests for one adapter: those sent since the last reported load count.
#[test]
fn a_burst_spreads_over_the_copies() {
    let mut loads = LoadChoice::new();
    let mut sent = [0; 3];
    for _ in 0..30 {
        let mut candidates: Vec<UpstreamName> = ["u0", "u1", "u2"].map(Into::into).to_vec();
        loads.sort(UnixMs(5), &mut candidates, 3, &[], PromptCost::default());
        loads.on_sent(UnixMs(5), &candidates[0]);
        sent[usize::from(candidates[0].as_str().as_bytes()[1] - b'0')] += 1;
    }
    assert_eq!(sent, [10, 10, 10]);
}

#[test]
fn engines_in_trouble_are_tried_last_for_a_while() {
    let mut loads = LoadChoice::new();
    loads.on_failed(UnixMs(0), &"u0".into());
    loads.on_holder_unresponsive(UnixMs(0), &"u1".into());
    let sorted = |at: u64| {
        let mut candidates: Vec<UpstreamName> = ["u0", "u1", "u2"].map(Into::into).to_vec();
        loads.sort(UnixMs(at), &mut candidates, 1, &[], PromptCost::default());
        candidates
    };
    assert_eq!(sorted(1), ["u2".into(), "u1".into(), "u0".into()]);
    assert_eq!(sorted(10_000), ["u0".into(), "u1".into(), "u2".into()]);
}

fn quote(running: u32, unread_tokens: u32, copy: QuotedCopy) -> EngineQuote {
    EngineQuote {
        running,
        batch_places: 16,
        unread_tokens,
        kept_tokens: 0,
        slowness_percent: None,
        paces: EnginePaces::default(),
        copy,
        demand_per_s: None,
    }
}

/// Returns the engine that is sorted first, given the quotes of two.
fn chosen(quotes: [EngineQuote; 2], copies: usize) -> UpstreamName {
    let mut loads = LoadChoice::new();
    let mut candidates: Vec<UpstreamName> = ["u0", "u1"].map(Into::into).to_vec();
    let mut quoted = Vec::new();
    for (name, quote) in candidates.iter().zip(quotes) {
        loads.on_quote(UnixMs(0), name, Some(&quote));
        quoted.push((name.clone(), quote));
    }
    loads.sort(
        UnixMs(0),
        &mut candidates,
        copies,
        &quoted,
        PromptCost::default(),
    );
    candidates.swap_remove(0)
}

/// Returns the engine that is sorted first for `prompt`, given the quotes of two.
fn chosen_for_prompt(quotes: [EngineQuote; 2], prompt: PromptCost<'_>) -> UpstreamName {
    let mut loads = LoadChoice::new();
    let mut candidates: Vec<UpstreamName> = ["u0", "u1"].map(Into::into).to_vec();
    let names = candidates.clone();
    for (name, quote) in names.iter().zip(&quotes) {
        loads.on_quote(UnixMs(0), name, Some(quote));
    }
    let quoted: Vec<_> = names.into_iter().zip(quotes).collect();
    loads.sort(UnixMs(0), &mut candidates, 2, &quoted, prompt);
    candidates.swap_remove(0)
}

/// Processing a long shared prefix again costs more than a few running requests.
#[test]
fn a_long_shared_prompt_returns_to_the_engine_that_cached_it() {
    let prompt = PromptCost {
        tokens: 9_000,
        preferred_engine: None,
    };
    let kept = |kept_tokens| EngineQuote {
        kept_tokens,
        ..quote(12, 0, QuotedCopy::Present)
    };
    let idle = quote(2, 0, QuotedCopy::Present);
    assert_eq!(chosen_for_prompt([kept(6_300), idle], prompt), "u0".into());
    assert_eq!(chosen_for_prompt([kept(155), idle], prompt), "u1".into());
}

/// The first prompt with a shared prefix goes to the preferred engine, where later ones look for the
/// prefix, unless that engine is busy.
#[test]
fn an_uncached_shared_prompt_goes_to_its_preferred_engine_unless_that_is_busy() {
    let preferred = UpstreamName::from("u0");
    let prompt = PromptCost {
        tokens: 9_000,
        preferred_engine: Some((&preferred, 6_300)),
    };
    let at = |running| quote(running, 0, QuotedCopy::Present);
    assert_eq!(chosen_for_prompt([at(6), at(2)], prompt), preferred);
    let reading = quote(6, 9_000, QuotedCopy::Present);
    assert_eq!(chosen_for_prompt([reading, at(2)], prompt), "u1".into());
}

/// An engine slowed down by a neighbour on its machine takes longer for a long prompt than one with
/// twice the load.
#[test]
fn a_long_prompt_is_not_sent_to_a_slow_engine() {
    let prompt = PromptCost {
        tokens: 9_000,
        preferred_engine: None,
    };
    let slow = EngineQuote {
        slowness_percent: Some(250),
        ..quote(5, 0, QuotedCopy::Present)
    };
    let full = quote(10, 0, QuotedCopy::Present);
    assert_eq!(chosen_for_prompt([slow, full], prompt), "u1".into());
}

/// Quotes show the load from other instances' requests, which this one doesn't see.
#[test]
fn an_engine_that_others_filled_is_skipped() {
    let filled = quote(12, 3_000, QuotedCopy::Present);
    let idle = quote(2, 0, QuotedCopy::Present);
    assert_eq!(chosen([filled, idle], 2), "u1".into());
}

/// An unprocessed long prompt delays the next request as much as a full batch.
#[test]
fn an_engine_that_processes_a_long_prompt_is_skipped() {
    let reading = quote(1, 9_000, QuotedCopy::Present);
    let running = quote(10, 0, QuotedCopy::Present);
    assert_eq!(chosen([reading, running], 2), "u1".into());
}

/// For rarely requested adapters, an existing copy outweighs a few more running requests, but not a
/// queue.
#[test]
fn an_existing_copy_is_used_until_its_engine_is_busy() {
    let absent = quote(2, 0, QuotedCopy::Absent);
    let held = |running| quote(running, 0, QuotedCopy::Present);
    assert_eq!(chosen([held(8), absent], 1), "u0".into());
    assert_eq!(chosen([held(14), absent], 1), "u1".into());
}

/// Guards against treating an engine as idle because its holder is paused.
#[test]
fn an_engine_without_a_quote_counts_as_busier_than_usual() {
    let mut loads = LoadChoice::new();
    loads.on_quote(UnixMs(0), &"u0".into(), None);
    let usual = quote(1, 0, QuotedCopy::Present);
    loads.on_quote(UnixMs(0), &"u1".into(), Some(&usual));
    let mut candidates: Vec<UpstreamName> = ["u0", "u1"].map(Into::into).to_vec();
    loads.sort(UnixMs(0), &mut candidates, 2, &[], PromptCost::default());
    assert_eq!(candidates[0], "u1".into());
}
