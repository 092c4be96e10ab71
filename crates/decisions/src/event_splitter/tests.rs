mod scanner;

use super::{EventError, EventSplitter, MAX_EVENT_BYTES, StreamPosition};

#[test]
fn every_chunk_size_gives_the_same_events() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4\ndata";
    let complete = &stream[..stream.len() - b"id: 4\ndata".len()];
    for size in 1..stream.len() {
        let mut splitter = EventSplitter::new();
        let forwarded: Vec<u8> = stream
            .chunks(size)
            .flat_map(|part| splitter.push(part).expect("short events"))
            .collect();
        assert_eq!(forwarded, complete, "in pieces of {size} bytes");
        assert_eq!(splitter.last_id(), Some(3));
        assert_eq!(splitter.position(), StreamPosition::InsideEvent);
    }
}

#[test]
fn a_stream_is_resumed_at_an_event_boundary() {
    let mut splitter = EventSplitter::new();
    let mut forwarded = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("short");
    splitter.resume();
    forwarded.extend(splitter.push(b"id: 2\ndata: b\n\n").expect("short"));
    assert_eq!(forwarded, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

/// Guards against a stream that goes on after an earlier event, and repeats what follows it, because some text
/// in the last events isn't UTF-8.
#[test]
fn ids_are_read_beside_bytes_that_are_no_text() {
    let mut splitter = EventSplitter::new();
    splitter.push(b"id: 1\ndata: a\n\n").expect("short");
    splitter
        .push(b"id: 2\rdata: \xff\r\rid: 3\rdata: b\r\r")
        .expect("short");
    assert_eq!(splitter.last_id(), Some(3));
}

/// Guards against events that reach the client twice because the upstream that resumes the stream starts over.
#[test]
fn a_resumed_stream_that_repeats_events_is_an_error() {
    let mut splitter = EventSplitter::new();
    splitter.push(b"id: 7\ndata: a\n\nid: 8\n").expect("short");
    splitter.resume();
    assert_eq!(
        splitter.push(b"id: 7\ndata: a\n\n"),
        Err(EventError::Repeated)
    );
    splitter.resume();
    assert_eq!(splitter.push(b": ping\n"), Ok(b": ping\n".to_vec()));
    assert!(splitter.push(b"id: 8\ndata: b\n\n").is_ok());
    assert_eq!(splitter.last_id(), Some(8));
}

/// A failing server sends bytes without end, and no event is ever complete.
#[test]
fn an_event_without_end_is_an_error() {
    let mut splitter = EventSplitter::new();
    let piece = [b'x'; 1_000];
    let pieces = (1..).find(|_| splitter.push(&piece) == Err(EventError::TooLong));
    assert_eq!(pieces, Some(MAX_EVENT_BYTES / piece.len() + 1));
    splitter.resume();
    assert_eq!(splitter.push(b"id: 1\n\n"), Ok(b"id: 1\n\n".to_vec()));
}
