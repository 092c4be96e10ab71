//! Line endings and ends of events, at every byte.

use crate::event_splitter::StreamPosition::{BeforeFirst, BetweenEvents, InsideEvent};
use crate::event_splitter::{EventScanner, StreamPosition};

fn position_after(bytes: &[u8], piece: usize) -> StreamPosition {
    let mut scanner = EventScanner::new();
    for piece in bytes.chunks(piece) {
        scanner.scan(piece);
    }
    scanner.position()
}

#[test]
fn what_ends_an_event() {
    let cases: [(&str, StreamPosition); 15] = [
        ("", BeforeFirst),
        ("\n\n", BeforeFirst),
        (": a comment\n", BeforeFirst),
        (": a comm", InsideEvent),
        ("data: a", InsideEvent),
        ("data: a\n", InsideEvent),
        ("data: a\r\n", InsideEvent),
        ("data: a\n: a comment\n", InsideEvent),
        ("data: a\n\n", BetweenEvents),
        ("data: a\r\n\r\n", BetweenEvents),
        ("data: a\r\r", BetweenEvents),
        ("data: a\n\r\n", BetweenEvents),
        ("data: a\n\n\n\n", BetweenEvents),
        ("data: a\n\n: a comment\n", BetweenEvents),
        ("data: a\n\nid: 2", InsideEvent),
    ];
    for (text, expected) in cases {
        for piece in 1..=text.len().max(1) {
            let position = position_after(text.as_bytes(), piece);
            assert_eq!(position, expected, "{text:?} in pieces of {piece} bytes");
        }
    }
}

/// Guards against events that are held back because their lines end with CR.
#[test]
fn boundaries_follow_every_event_and_every_comment_between_events() {
    let mut scanner = EventScanner::new();
    assert_eq!(scanner.scan(b"data: a\r\rid: 2"), Some(9));
    assert_eq!(scanner.scan(b"\r"), None);
    assert_eq!(scanner.scan(b"\r"), Some(1));
    assert_eq!(scanner.scan(b"\n: ping\ndata"), Some(8));
}
