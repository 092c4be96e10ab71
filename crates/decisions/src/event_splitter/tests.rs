use super::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};

#[test]
fn every_way_of_splitting_gives_the_same_events() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4\ndata";
    let whole = &stream[..stream.len() - b"id: 4\ndata".len()];
    for size in 1..stream.len() {
        let mut splitter = EventSplitter::new();
        let passed: Vec<u8> = stream
            .chunks(size)
            .flat_map(|part| splitter.push(part).expect("short events"))
            .collect();
        assert_eq!(passed, whole, "in pieces of {size} bytes");
        assert_eq!(splitter.last_id(), Some(3));
        assert_eq!(splitter.take_rest(), b"id: 4\ndata");
    }
}

#[test]
fn a_run_elsewhere_joins_on_at_the_border_of_an_event() {
    let mut splitter = EventSplitter::new();
    let mut passed = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("short");
    splitter.drop_partial();
    passed.extend(splitter.push(b"id: 2\ndata: b\n\n").expect("short"));
    assert_eq!(passed, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

/// A server in trouble sends bytes without end, and no event is ever whole.
#[test]
fn an_event_without_end_is_given_up() {
    let mut splitter = EventSplitter::new();
    let piece = [b'x'; 1_000];
    let pieces = (1..).find(|_| splitter.push(&piece) == Err(EventTooLong));
    assert_eq!(pieces, Some(MAX_EVENT_BYTES / piece.len() + 1));
    splitter.drop_partial();
    assert_eq!(splitter.push(b"id: 1\n\n"), Ok(b"id: 1\n\n".to_vec()));
}
