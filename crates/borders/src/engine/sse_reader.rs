//! Parsing of the server-sent events of a generation.

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::sync::mpsc;

use super::GenerationEvent;

/// Data of the event that ends a complete answer.
const END_OF_ANSWER: &str = "[DONE]";

/// Forwards the events of `body` until the answer ends or the receiver is dropped.
///
/// Returning drops the body, which closes the connection of an unfinished answer and thereby
/// cancels the generation on the engine.
pub(super) async fn read_events(body: Incoming, sender: mpsc::Sender<GenerationEvent>) {
    let reading = forward(body.into_data_stream(), &sender);
    tokio::select! {
        () = reading => {}
        () = sender.closed() => {}
    }
}

/// Forwards the events of a byte stream; the last one is always `Done` or `Broken`.
pub(super) async fn forward<E>(
    bytes: impl Stream<Item = Result<Bytes, E>>,
    sender: &mpsc::Sender<GenerationEvent>,
) where
    E: std::fmt::Display,
{
    let mut events = Box::pin(bytes.eventsource());
    loop {
        let event = match events.next().await {
            None => broken("the stream ended before the answer was whole"),
            Some(Err(error)) => broken(&error.to_string()),
            Some(Ok(event)) => parse(&event.data),
        };
        let is_last = !matches!(event, GenerationEvent::Chunk(_));
        if sender.send(event).await.is_err() || is_last {
            return;
        }
    }
}

fn parse(data: &str) -> GenerationEvent {
    if data == END_OF_ANSWER {
        return GenerationEvent::Done;
    }
    match serde_json::from_str::<Value>(data) {
        Err(error) => broken(&format!("a chunk is not JSON: {error}")),
        Ok(chunk) if chunk.get("error").is_some() => broken(data),
        Ok(chunk) => GenerationEvent::Chunk(chunk),
    }
}

fn broken(text: &str) -> GenerationEvent {
    GenerationEvent::Broken(text.to_owned())
}
