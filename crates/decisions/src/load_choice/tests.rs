use monsoonspread_model::{UnixMs, UpstreamName};

use super::{LoadChoice, PromptCost};
use crate::copies::{EngineQuote, QuotedCopy};

/// A burst on one adapter: what an instance sent since the last word counts.
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
    loads.on_holder_silent(UnixMs(0), &"u1".into());
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

/// The engine that one of two quoted ones with a copy is chosen for a long prompt.
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

/// Long prompts with a shared beginning: reading it anew costs more than a few requests.
#[test]
fn a_long_shared_prompt_returns_to_the_engine_that_kept_it() {
    let prompt = PromptCost {
        tokens: 9_000,
        home: None,
    };
    let kept = |kept_tokens| EngineQuote {
        kept_tokens,
        ..quote(12, 0, QuotedCopy::Present)
    };
    let idle = quote(2, 0, QuotedCopy::Present);
    assert_eq!(chosen_for_prompt([kept(6_300), idle], prompt), "u0".into());
    assert_eq!(chosen_for_prompt([kept(155), idle], prompt), "u1".into());
}

/// The first reader of a shared beginning goes where the next ones look for it, unless that
/// engine is busy.
#[test]
fn a_shared_prompt_that_nobody_kept_is_read_at_its_home_unless_that_is_busy() {
    let home = UpstreamName::from("u0");
    let prompt = PromptCost {
        tokens: 9_000,
        home: Some((&home, 6_300)),
    };
    let at = |running| quote(running, 0, QuotedCopy::Present);
    assert_eq!(chosen_for_prompt([at(6), at(2)], prompt), home);
    let reading = quote(6, 9_000, QuotedCopy::Present);
    assert_eq!(chosen_for_prompt([reading, at(2)], prompt), "u1".into());
}

/// A neighbour presses on the engine's machine: a long prompt takes longer there than at an
/// engine that is twice as full.
#[test]
fn a_long_prompt_is_not_read_by_an_engine_that_is_slow() {
    let prompt = PromptCost {
        tokens: 9_000,
        home: None,
    };
    let slow = EngineQuote {
        slowness_percent: Some(250),
        ..quote(5, 0, QuotedCopy::Present)
    };
    let full = quote(10, 0, QuotedCopy::Present);
    assert_eq!(chosen_for_prompt([slow, full], prompt), "u1".into());
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
    loads.sort(UnixMs(0), &mut candidates, 2, &[], PromptCost::default());
    assert_eq!(candidates[0], "u1".into());
}
