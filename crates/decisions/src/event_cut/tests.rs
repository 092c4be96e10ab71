use super::EventCut;

#[test]
fn every_way_of_splitting_gives_the_same_events() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4\ndata";
    let whole = &stream[..stream.len() - b"id: 4\ndata".len()];
    for size in 1..stream.len() {
        let mut cut = EventCut::new();
        let passed: Vec<u8> = stream
            .chunks(size)
            .flat_map(|part| cut.push(part))
            .collect();
        assert_eq!(passed, whole, "in pieces of {size} bytes");
        assert_eq!(cut.last_id(), Some(3));
        assert_eq!(cut.take_rest(), b"id: 4\ndata");
    }
}

#[test]
fn a_run_elsewhere_joins_on_at_the_border_of_an_event() {
    let mut cut = EventCut::new();
    let mut passed = cut.push(b"id: 1\ndata: a\n\nid: 2\nda");
    cut.drop_partial();
    passed.extend(cut.push(b"id: 2\ndata: b\n\n"));
    assert_eq!(passed, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}
