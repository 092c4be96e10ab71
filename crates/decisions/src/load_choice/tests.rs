use monsoonspread_model::{UnixMs, UpstreamName};

use super::{KeptPrompt, LoadChoice};
use crate::copies::{EngineQuote, QuotedCopy};

/// A burst on one adapter: what an instance sent since the last word counts.
#[test]
fn a_burst_spreads_over_the_copies() {
    let mut loads = LoadChoice::new();
    let mut sent = [0; 3];
    for _ in 0..30 {
        let mut candidates: Vec<UpstreamName> = ["u0", "u1", "u2"].map(Into::into).to_vec();
        loads.sort(UnixMs(5), &mut candidates, 3, &[], None);
        loads.on_sent(UnixMs(5), &candidates[0]);
        sent[usize::from(candidates[0].as_str().as_bytes()[1] - b'0')] += 1;
    }
    assert_eq!(sent, [10, 10, 10]);
}

#[test]
fn engines_in_trouble_are_tried_last_for_a_while() {
    let mut loads = LoadChoice::new();
    loads.on_failed(UnixMs(0), &"u0".into());
    loads.on_holder_silent(UnixMs(0), &"u1".into());
    let sorted = |at: u64| {
        let mut candidates: Vec<UpstreamName> = ["u0", "u1", "u2"].map(Into::into).to_vec();
        loads.sort(UnixMs(at), &mut candidates, 1, &[], None);
        candidates
    };
    assert_eq!(sorted(1), ["u2".into(), "u1".into(), "u0".into()]);
    assert_eq!(sorted(10_000), ["u0".into(), "u1".into(), "u2".into()]);
}

/// Long prompts with a shared beginning: reading it anew costs more than a few requests.
#[test]
fn a_long_shared_prompt_returns_to_the_engine_that_kept_it() {
    let mut loads = LoadChoice::new();
    loads.on_running(UnixMs(0), &"u0".into(), 12);
    loads.on_running(UnixMs(0), &"u1".into(), 2);
    let home = UpstreamName::from("u0");
    let first = |tokens: u32| {
        let mut candidates: Vec<UpstreamName> = ["u0", "u1"].map(Into::into).to_vec();
        let kept = KeptPrompt {
            upstream: &home,
            tokens,
        };
        loads.sort(UnixMs(0), &mut candidates, 2, &[], Some(kept));
        candidates[0].clone()
    };
    assert_eq!(first(6_300), home);
    assert_eq!(first(155), "u1".into());
}

fn quote(running: u32, unread_tokens: u32, copy: QuotedCopy) -> EngineQuote {
    EngineQuote {
        running,
        batch_places: 16,
        unread_tokens,
        copy,
        demand_per_s: None,
    }
}

/// The engine that one of two quoted ones is chosen before the other.
fn chosen(quotes: [EngineQuote; 2], copies: usize) -> UpstreamName {
    let mut loads = LoadChoice::new();
    let mut candidates: Vec<UpstreamName> = ["u0", "u1"].map(Into::into).to_vec();
    let mut quoted = Vec::new();
    for (name, quote) in candidates.iter().zip(quotes) {
        loads.on_quote(UnixMs(0), name, Some(&quote));
        quoted.push((name.clone(), quote.copy));
    }
    loads.sort(UnixMs(0), &mut candidates, copies, &quoted, None);
    candidates.swap_remove(0)
}

/// A clump of requests at other instances, of which this one saw nothing.
#[test]
fn an_engine_that_others_filled_is_passed_over() {
    let filled = quote(12, 3_000, QuotedCopy::Present);
    let idle = quote(2, 0, QuotedCopy::Present);
    assert_eq!(chosen([filled, idle], 2), "u1".into());
}

/// A long prompt that is not read yet holds up the next one as much as a full batch.
#[test]
fn an_engine_that_reads_a_long_prompt_is_passed_over() {
    let reading = quote(1, 9_000, QuotedCopy::Present);
    let running = quote(10, 0, QuotedCopy::Present);
    assert_eq!(chosen([reading, running], 2), "u1".into());
}

/// Rare models: a copy is worth a few requests more, but not a queue.
#[test]
fn a_copy_is_kept_to_until_its_engine_is_busy() {
    let absent = quote(2, 0, QuotedCopy::Absent);
    let held = |running| quote(running, 0, QuotedCopy::Present);
    assert_eq!(chosen([held(8), absent], 1), "u0".into());
    assert_eq!(chosen([held(14), absent], 1), "u1".into());
}

/// An engine whose holder is paused doesn't look idle.
#[test]
fn an_engine_without_a_quote_counts_as_busier_than_usual() {
    let mut loads = LoadChoice::new();
    loads.on_quote(UnixMs(0), &"u0".into(), None);
    let usual = quote(1, 0, QuotedCopy::Present);
    loads.on_quote(UnixMs(0), &"u1".into(), Some(&usual));
    let mut candidates: Vec<UpstreamName> = ["u0", "u1"].map(Into::into).to_vec();
    loads.sort(UnixMs(0), &mut candidates, 2, &[], None);
    assert_eq!(candidates[0], "u1".into());
}
