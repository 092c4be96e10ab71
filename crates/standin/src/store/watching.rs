//! Watches: newline-delimited JSON for as long as somebody listens.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use hyper::Response;

use super::Store;
use super::wire::{Event, Header, StreamLine, WatchCreate, WatchResult};
use crate::server::{AnswerBody, streamed};

struct Watch {
    store: Arc<Store>,
    range: WatchCreate,
    next_revision: i64,
    announced: bool,
}

/// Answers a watch with its events, from its start revision on.
pub(super) fn stream(store: Arc<Store>, range: WatchCreate) -> Response<AnswerBody> {
    let next_revision = match range.start_revision {
        0 => *store.revision.borrow() + 1,
        start => start,
    };
    let watch = Watch {
        store,
        range,
        next_revision,
        announced: false,
    };
    let lines = stream::unfold(watch, |mut watch| async {
        let line = watch.next_line().await;
        Some((line, watch))
    });
    streamed("application/json", lines)
}

impl Watch {
    async fn next_line(&mut self) -> io::Result<Bytes> {
        if !self.announced {
            self.announced = true;
            return line(self.header(), true, Vec::new());
        }
        loop {
            self.wait_for_writes().await?;
            self.store.faults.running().await;
            let (events, revision) = self.store.lock().data.events_from(
                self.next_revision,
                &self.range.key,
                &self.range.range_end,
            );
            self.next_revision = revision + 1;
            if !events.is_empty() {
                return line(Header { revision }, false, events);
            }
        }
    }

    async fn wait_for_writes(&self) -> io::Result<()> {
        let next_revision = self.next_revision;
        let mut revision = self.store.revision.subscribe();
        revision
            .wait_for(|revision| *revision >= next_revision)
            .await
            .map(|_| ())
            .map_err(io::Error::other)
    }

    fn header(&self) -> Header {
        self.store.lock().data.header()
    }
}

fn line(header: Header, created: bool, events: Vec<Event>) -> io::Result<Bytes> {
    let result = WatchResult {
        header,
        created,
        canceled: false,
        events,
    };
    let mut text = serde_json::to_vec(&StreamLine { result })?;
    text.push(b'\n');
    Ok(Bytes::from(text))
}
