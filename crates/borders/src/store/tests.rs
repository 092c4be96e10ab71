//! Parsing of valid and arbitrary lines of a watch, and the end of a key prefix.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::stream;
use quickcheck::{Arbitrary, Gen};
use tokio::sync::mpsc;

use super::Stored;
use super::etcd_wire::prefix_end;
use super::watch_reader::forward;

const CASES: u64 = 400;

/// The creation of a watch, a put of value `b` at key `a`, and the deletion of `a`, as sent by the
/// gateway.
const LINES: &str = concat!(
    r#"{"result":{"header":{"revision":"3"},"created":true}}"#,
    "\n",
    r#"{"result":{"header":{"revision":"4"},"events":[{"kv":{"key":"YQ==","value":"Yg==","mod_revision":"4"}}]}}"#,
    "\n",
    r#"{"result":{"header":{"revision":"5"},"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"5"}}]}}"#,
    "\n",
);

async fn read(pieces: Vec<Bytes>) -> Vec<Stored> {
    let (sender, mut receiver) = mpsc::channel(1_024);
    let pieces = pieces.into_iter().map(Ok::<_, Infallible>);
    forward(stream::iter(pieces), &sender).await;
    drop(sender);
    let mut writes = Vec::new();
    while let Some(stored) = receiver.recv().await {
        writes.push(stored);
    }
    writes
}

fn put() -> Stored {
    Stored {
        key: "a".to_owned(),
        value: b"b".to_vec(),
        mod_revision: 4,
    }
}

#[tokio::test]
async fn writes_do_not_depend_on_chunk_boundaries() {
    for size in 1..LINES.len() {
        let pieces = LINES.as_bytes().chunks(size).map(Bytes::copy_from_slice);
        assert_eq!(read(pieces.collect()).await, [put()], "pieces of {size}");
    }
}

#[tokio::test]
async fn a_cancelled_watch_ends() {
    let canceled = "{\"result\":{\"canceled\":true}}\n";
    let pieces = [canceled, LINES].map(Bytes::from);
    assert_eq!(read(pieces.into()).await, []);
}

#[tokio::test]
async fn any_bytes_end_the_watch_without_a_write() {
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(80, seed);
        let bytes = Vec::<u8>::arbitrary(&mut random);
        assert_eq!(read(vec![Bytes::from(bytes)]).await, [], "seed {seed}");
    }
}

#[test]
fn a_prefix_ends_before_the_next_one() {
    assert_eq!(prefix_end(b"/claim/"), b"/claim0");
    assert_eq!(prefix_end(b"a\xff"), b"b");
    assert_eq!(prefix_end(b"\xff"), b"\0");
}
