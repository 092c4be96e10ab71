use monsoonspread_model::{UnixMs, UpstreamName};

use super::{KeptPrompt, LoadChoice};

/// A burst on one adapter: what an instance sent since the last word counts.
#[test]
fn a_burst_spreads_over_the_copies() {
    let mut loads = LoadChoice::new();
    let mut sent = [0; 3];
    for _ in 0..30 {
        let mut candidates: Vec<UpstreamName> = ["u0", "u1", "u2"].map(Into::into).to_vec();
        loads.sort(UnixMs(5), &mut candidates, 3, None);
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
        loads.sort(UnixMs(at), &mut candidates, 1, None);
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
        loads.sort(UnixMs(0), &mut candidates, 2, Some(kept));
        candidates[0].clone()
    };
    assert_eq!(first(6_300), home);
    assert_eq!(first(155), "u1".into());
}
