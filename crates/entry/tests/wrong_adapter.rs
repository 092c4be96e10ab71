//! Tests of an engine whose response names a different adapter than the requested one.

mod support;

use std::sync::Arc;

use async_trait::async_trait;
use monsoonspread_borders::engine::VllmEngine;
use monsoonspread_borders::{
    Engine, EngineError, GenerateRequest, Generation, GenerationEvent, OrderError,
};
use monsoonspread_entry::{EngineFactory, Entry, Platform};
use monsoonspread_model::{BundleVersion, CopyName, Epoch, ListedInstance, LoadReport};
use support::*;
use tokio::sync::mpsc;

/// Engine client that replaces the adapter name in all chunks from index `from_chunk` on.
struct WrongAdapterEngine {
    engine: VllmEngine,
    from_chunk: usize,
}

#[async_trait]
impl Engine for WrongAdapterEngine {
    async fn load(&self, copy: &CopyName, epoch: Epoch) -> Result<(), OrderError> {
        self.engine.load(copy, epoch).await
    }

    async fn unload(&self, copy: &CopyName, epoch: Epoch) -> Result<(), OrderError> {
        self.engine.unload(copy, epoch).await
    }

    async fn fence(&self, epoch: Epoch) -> Result<(), OrderError> {
        self.engine.fence(epoch).await
    }

    async fn report(&self) -> Result<LoadReport, OrderError> {
        self.engine.report().await
    }

    async fn generate(&self, request: GenerateRequest) -> Result<Generation, EngineError> {
        let mut generation = self.engine.generate(request).await?;
        let (sender, events) = mpsc::channel(8);
        let from_chunk = self.from_chunk;
        tokio::spawn(async move {
            let mut chunks = 0;
            while let Some(mut event) = generation.events.recv().await {
                if let GenerationEvent::Chunk(chunk) = &mut event
                    && chunks >= from_chunk
                {
                    chunk["model"] = "needle-0000@2.e1".into();
                }
                chunks += 1;
                if sender.send(event).await.is_err() {
                    return;
                }
            }
        });
        Ok(Generation { events })
    }
}

struct WrongAdapterFactory(usize);

impl EngineFactory for WrongAdapterFactory {
    fn engine(&self, listed: &ListedInstance) -> Arc<dyn Engine> {
        Arc::new(WrongAdapterEngine {
            engine: VllmEngine::new(listed.address),
            from_chunk: self.0,
        })
    }
}

async fn region_with_wrong_adapter(from_chunk: usize) -> monsoonspread_demo::Region {
    let mut region = region(shape(0, 1)).await;
    let settings = region.settings("entry-1-1", &"zone-1".into());
    let platform = Platform {
        engines: Arc::new(WrongAdapterFactory(from_chunk)),
        ..Platform::connect(&settings)
    };
    let entry = Entry::start(settings, platform).await.unwrap();
    region.list_entry("entry-1-1", &"zone-1".into(), entry.mesh_address());
    region.entries.insert("entry-1-1".to_owned(), entry);
    region.wait_for_bundle(BundleVersion(1)).await;
    region.wait_for_owners().await.unwrap();
    region
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_first_chunk_is_an_error() {
    let region = region_with_wrong_adapter(0).await;
    let reply = generate(&region, "entry-1-1", "needle-0002").await;
    assert_eq!(
        (reply.status, reply.error_type().as_str()),
        (502, "wrong_adapter")
    );
    assert!(!reply.says_not_run());
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_later_chunk_ends_the_stream_in_an_error() {
    let region = region_with_wrong_adapter(3).await;
    let stream = Stream::open(&region, "entry-1-1", &chat("needle-0002", 20, true)).await;
    let events = stream.rest().await;
    assert!(ends_in_error(&events), "{events:?}");
    assert!(events.last().unwrap().data.contains("wrong_adapter"));
    assert_eq!(events.len(), 4);
}
