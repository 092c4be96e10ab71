//! Parsing of complete, truncated and arbitrary event streams.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::stream;
use quickcheck::{Arbitrary, Gen};
use tokio::sync::mpsc;

use super::GenerationEvent;
use super::sse_reader::forward;

const CASES: u64 = 400;

/// Parses `text` in pieces; each piece ends at a cut point, taken modulo the remaining length.
async fn read(text: &[u8], cut_points: &[usize]) -> Vec<GenerationEvent> {
    let mut pieces = Vec::new();
    let mut rest = text;
    for cut_point in cut_points {
        let (piece, later) = rest.split_at(cut_point % (rest.len() + 1));
        pieces.push(Ok::<_, Infallible>(Bytes::copy_from_slice(piece)));
        rest = later;
    }
    pieces.push(Ok(Bytes::copy_from_slice(rest)));
    let (sender, mut receiver) = mpsc::channel(1_024);
    forward(stream::iter(pieces), &sender).await;
    drop(sender);
    let mut events = Vec::new();
    while let Some(event) = receiver.recv().await {
        events.push(event);
    }
    events
}

fn is_last(event: &GenerationEvent) -> bool {
    !matches!(event, GenerationEvent::Chunk(_))
}

#[tokio::test]
async fn a_complete_answer_does_not_depend_on_chunk_boundaries() {
    let text = "data: {\"n\":1}\n\ndata: {\"n\":\"\u{e9}\"}\n\ndata: [DONE]\n\n".as_bytes();
    for seed in 0..CASES {
        let cut_points = Vec::arbitrary(&mut Gen::from_size_and_seed(12, seed));
        let events = read(text, &cut_points).await;
        assert_eq!(events.len(), 3, "seed {seed}");
        assert_eq!(events[2], GenerationEvent::Done, "seed {seed}");
    }
}

#[tokio::test]
async fn an_answer_cut_anywhere_is_broken_and_never_done() {
    let text = b"data: {\"n\":1}\n\ndata: {\"n\":2}\n\ndata: [DONE]";
    for length in 0..=text.len() {
        let events = read(&text[..length], &[]).await;
        let last = events.last().expect("a last event");
        assert!(matches!(last, GenerationEvent::Broken(_)), "{length}");
    }
}

#[tokio::test]
async fn an_error_in_the_stream_breaks_it() {
    let text = b"data: {\"error\":{\"message\":\"out of memory\"}}\n\ndata: [DONE]\n\n";
    let events = read(text, &[]).await;
    assert_eq!(events.len(), 1);
    assert!(matches!(&events[0], GenerationEvent::Broken(why) if why.contains("out of memory")));
}

#[tokio::test]
async fn any_bytes_end_in_one_last_event() {
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(80, seed);
        let mut text = b"data: {\"n\":1}\n\n".to_vec();
        text.extend(Vec::<u8>::arbitrary(&mut random));
        let cut_points = Vec::arbitrary(&mut random);
        let events = read(&text, &cut_points).await;
        let last = events.iter().position(is_last);
        assert_eq!(last, Some(events.len() - 1), "seed {seed}");
        assert_ne!(events.last(), Some(&GenerationEvent::Done), "seed {seed}");
    }
}
