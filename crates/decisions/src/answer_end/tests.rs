use super::EndVerdict::{BrokenOff, Complete, Unconfirmed};
use super::Framing::{Chunks, Connection, Length};
use super::{CheckTimes, EndVerdict, Framing, ProcessEvidence};
use crate::announced::Announcements;
use crate::event_splitter::EventScanner;
use crate::event_splitter::StreamPosition::{BeforeFirst, BetweenEvents, InsideEvent};
use monsoonspread_model::UnixMs;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn every_end_has_its_verdict() {
    let cases = [
        (None, [Complete, Complete, Unconfirmed]),
        (Some(BeforeFirst), [Complete, Complete, BrokenOff]),
        (Some(BetweenEvents), [Complete, Complete, Unconfirmed]),
        (Some(InsideEvent), [BrokenOff, BrokenOff, BrokenOff]),
    ];
    for (position, expected) in cases {
        let verdicts =
            [Length, Chunks, Connection].map(|framing| EndVerdict::new(framing, position));
        assert_eq!(verdicts, expected, "{position:?}");
    }
}

/// Guards against a stream without a length that looks complete although it ends at some byte inside an event.
#[test]
fn a_stream_cut_at_any_byte_is_complete_only_between_events() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = |id: u64| format!("id: {id}{line_end}data: token {id}{line_end}{line_end}");
        let stream: String = (1..=4).map(event).collect();
        let mut ends = Vec::new();
        for cut in 0..=stream.len() {
            let mut scanner = EventScanner::new();
            scanner.scan(&stream.as_bytes()[..cut]);
            if EndVerdict::new(Connection, Some(scanner.position())) == Unconfirmed {
                ends.push(cut);
            }
        }
        let length = event(1).len();
        let mut expected: Vec<usize> = (1..=4).map(|number| number * length).collect();
        if line_end == "\r\n" {
            // The CR ends the blank line; the LF after it belongs to the same ending.
            expected = expected
                .into_iter()
                .flat_map(|end| [end - 1, end])
                .collect();
        }
        assert_eq!(ends, expected, "{line_end:?}");
    }
}

#[test]
fn the_last_transfer_coding_decides() {
    assert_eq!(Framing::new(["chunked"], true), Chunks);
    assert_eq!(Framing::new(["gzip", "chunked"], false), Chunks);
    assert_eq!(Framing::new(["chunked, gzip"], true), Connection);
    assert_eq!(Framing::new([""], true), Length);
}

/// Guards against a stream that looks complete because nothing showed that its upstream had gone.
#[test]
fn only_an_answer_of_the_same_process_confirms_an_end() {
    const STARTED: u64 = 7;
    let answered = |started_unix_ms| ProcessEvidence::Answered { started_unix_ms };
    let cases = [
        (answered(Some(STARTED)), [true, true, true]),
        (answered(Some(STARTED + 1)), [false, false, false]),
        (answered(None), [true, true, false]),
        (ProcessEvidence::OtherProcess, [false; 3]),
        (ProcessEvidence::ConnectionRefused, [false; 3]),
        (ProcessEvidence::NoAnswer, [false; 3]),
        (ProcessEvidence::NotAsked, [false; 3]),
        (ProcessEvidence::RequestUnread, [false; 3]),
    ];
    for (evidence, expected) in cases {
        let listed = [None, Some(STARTED), Some(STARTED + 1)];
        let confirmed = listed.map(|listed| evidence.confirms_end(STARTED, listed));
        assert_eq!(confirmed, expected, "{evidence:?}");
    }
}

/// Time in which a rejection and the requests that cross it don't count, in milliseconds, and the maximum number of
/// requests after it: the platform's rules.
const UNCOUNTED_MS: u64 = 500;
const MAX_COUNTED: usize = 2;

/// Guards against checks that a server in need counts as requests while it wants none, under answers of all
/// lengths that end while it also rejects the checks.
#[test]
fn checks_respect_each_backoff_and_confirm_the_first_end_in_it() {
    for seed in 0..60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (server, mut announcements) = ("server-1".into(), Announcements::default());
        let mut checks = CheckTimes::default();
        let mut waiting: Vec<UnixMs> = Vec::new();
        let mut rejections: Vec<(UnixMs, UnixMs)> = Vec::new();
        let mut checked_at: Vec<UnixMs> = Vec::new();
        let ends_in = random.random_range(1..400);
        for now in (1..12_000).map(UnixMs) {
            let backoff = announcements.backoff(now, &server, 1);
            if random.random_range(0..ends_in) == 0 {
                waiting.push(now + random.random_range(1_000..8_000));
            }
            let is_due = |gives_up_at: &UnixMs| checks.next(now, backoff, *gives_up_at) <= now;
            let is_checked = waiting.iter().any(is_due);
            if is_checked {
                checks.on_check(now, backoff);
                checked_at.push(now);
                waiting.clear();
            }
            let given_up = waiting.iter().filter(|gives_up_at| **gives_up_at <= now);
            if given_up.count() > 0 {
                let since = backoff.expect("a back-off").since;
                let has_check = checked_at.iter().any(|at| *at >= since);
                assert!(has_check, "seed {seed}: no check since {since:?}");
            }
            waiting.retain(|gives_up_at| *gives_up_at > now);
            // Requests are sent only outside of back-offs.
            let is_rejected = (is_checked && random.random_range(0..3) == 0)
                || (backoff.is_none() && random.random_range(0..300) == 0);
            if is_rejected {
                let backoff_ms = random.random_range(200..6_000);
                announcements.on_backoff(now, &server, 1, backoff_ms);
                rejections.push((now, now + backoff_ms));
            }
        }
        assert!(!checked_at.is_empty() && !rejections.is_empty());
        for (at, until) in rejections {
            let counted = at + UNCOUNTED_MS..until;
            let sent = checked_at.iter().filter(|at| counted.contains(at)).count();
            assert!(
                sent <= MAX_COUNTED,
                "seed {seed}: {sent} checks in {counted:?}"
            );
        }
    }
}
