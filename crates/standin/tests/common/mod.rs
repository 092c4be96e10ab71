//! What the tests of clients against stand-ins share.

use std::sync::Arc;

use monsoonspread_borders::engine::VllmEngine;
use monsoonspread_borders::{Engine as _, GenerateRequest, Generation, GenerationEvent};
use monsoonspread_model::{AdapterRef, CopyName, Epoch};
use monsoonspread_standin::{Engine, EngineSettings, Running, Weights, WeightsSettings};
use serde_json::json;

/// All times in tests are a hundredth of the usual ones.
pub const TIME_SCALE: f64 = 0.01;

/// A fast weight store.
pub async fn weights() -> Running<Weights> {
    let settings = WeightsSettings {
        time_scale: TIME_SCALE,
        ..WeightsSettings::default()
    };
    Weights::start(settings)
        .await
        .expect("the weight store starts")
}

/// A fast engine with a weight store of its own.
pub async fn engine(settings: EngineSettings) -> (Running<Engine>, VllmEngine) {
    let weights = weights().await;
    let settings = EngineSettings {
        time_scale: TIME_SCALE,
        ..settings
    };
    let engine = Engine::start(settings, Arc::clone(weights.target()) as _)
        .await
        .expect("the engine starts");
    let client = VllmEngine::new(engine.address());
    (engine, client)
}

/// Version 2 of adapter `needle-7`, loaded by the owner with `epoch`.
pub fn copy(epoch: u64) -> CopyName {
    CopyName::new(AdapterRef::new("needle-7", 2), Epoch(epoch))
}

/// A request for `max_tokens` tokens from `copy`.
pub fn request(copy: &CopyName, max_tokens: u32, prompt: &str) -> GenerateRequest {
    GenerateRequest {
        copy: copy.clone(),
        path: "/v1/completions".to_owned(),
        body: json!({ "model": "needle-7", "prompt": prompt, "max_tokens": max_tokens }),
        priority: 5,
        request_id: "r-1".to_owned(),
    }
}

/// The text of a generation and its last event.
pub async fn text_of(mut generation: Generation) -> (String, GenerationEvent) {
    let mut text = String::new();
    while let Some(event) = generation.events.recv().await {
        match event {
            GenerationEvent::Chunk(chunk) => {
                text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
            }
            last => return (text, last),
        }
    }
    (text, GenerationEvent::Broken("no last event".to_owned()))
}

/// Loads a copy, which must succeed.
pub async fn load(client: &VllmEngine, copy: &CopyName) {
    client.load(copy, copy.epoch).await.expect("the copy loads");
}
