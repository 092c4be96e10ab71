use super::EndVerdict::{BrokenOff, Complete, Unconfirmed};
use super::Framing::{Chunks, Connection, Length};
use super::{EndVerdict, Framing, ProcessEvidence};
use crate::event_splitter::EventScanner;
use crate::event_splitter::StreamPosition::{BeforeFirst, BetweenEvents, InsideEvent};

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
        (ProcessEvidence::RequestUnread, [false; 3]),
    ];
    for (evidence, expected) in cases {
        let listed = [None, Some(STARTED), Some(STARTED + 1)];
        let confirmed = listed.map(|listed| evidence.confirms_end(STARTED, listed));
        assert_eq!(confirmed, expected, "{evidence:?}");
    }
}
