//! Generations: streamed, whole, with and without a version, and many at a time.

use std::collections::BTreeSet;
use std::time::Instant;

use futures_util::future::try_join_all;
use monsoonspread_model::Bundle;
use serde_json::{Value, json};

use super::{Step, Tour};
use crate::client::{ClientError, Reply, events_of};
use crate::report::Row;

const CHAT: &str = "/v1/chat/completions";
const COMPLETIONS: &str = "/v1/completions";
/// Requests of the burst and the adapters that they name.
const BURST_REQUESTS: usize = 120;
const BURST_ADAPTERS: usize = 8;
/// Tokens of each request of the burst.
const BURST_TOKENS: u32 = 24;

impl Tour<'_> {
    pub(super) async fn generations(&mut self) -> Result<(), ClientError> {
        let whole = Step {
            title: "chat, whole answer",
            entry: "entry-1-1",
            client: self.bench.clone(),
            method: "POST",
            path: CHAT,
            headers: &[],
            body: chat("needle-0002", 12, false),
        };
        self.send(whole, |reply| whole_answer(reply, "needle-0002@2", 12))
            .await?;
        let streamed = Step {
            title: "chat, streamed, version 1 asked for",
            entry: "entry-2-1",
            client: self.bench.clone(),
            method: "POST",
            path: CHAT,
            headers: &[],
            body: chat("needle-0002@1", 20, true),
        };
        self.send(streamed, |reply| {
            streamed_answer(reply, "needle-0002@1", 20)
        })
        .await?;
        let completion = Step {
            title: "completion, streamed",
            entry: "entry-3-1",
            client: self.cards.clone(),
            method: "POST",
            path: COMPLETIONS,
            headers: &[],
            body: json!({"model": "verse-0001", "prompt": "A verse for Ilze",
                         "max_tokens": 16, "stream": true}),
        };
        self.send(completion, |reply| {
            streamed_answer(reply, "verse-0001@2", 16)
        })
        .await?;
        let again = Step {
            title: "the same adapter at another instance",
            entry: "entry-1-1",
            client: self.cards.clone(),
            method: "POST",
            path: COMPLETIONS,
            headers: &[],
            body: json!({"model": "verse-0001", "prompt": "A verse for Juris", "max_tokens": 16}),
        };
        self.send(again, |reply| whole_answer(reply, "verse-0001@2", 16))
            .await?;
        let models = Step {
            title: "list of the caller's adapters",
            entry: "entry-2-1",
            client: self.cards.clone(),
            method: "GET",
            path: "/v1/models",
            headers: &[],
            body: Value::Null,
        };
        self.send(models, |reply| {
            let models = reply.json();
            let count = models["data"].as_array().map_or(0, Vec::len);
            let own = reply.status == 200 && count > 0 && !reply.text.contains("needle-");
            own.then(|| format!("{count} adapters"))
                .ok_or_else(|| "the list is not the caller's own".to_owned())
        })
        .await?;
        self.burst().await
    }

    /// Many requests at a time for a few adapters, which share loads.
    async fn burst(&mut self) -> Result<(), ClientError> {
        let started = Instant::now();
        let loads_before = self.region.weights.served().served;
        let addresses = self.region.callers_addresses();
        let sends = (0..BURST_REQUESTS).map(|index| {
            let adapter = Bundle::sample_adapter_name(100 + 2 * (index % BURST_ADAPTERS));
            let address = addresses[index % addresses.len()];
            let client = self.bench.clone();
            async move {
                let body = chat(adapter.as_str(), BURST_TOKENS, index % 2 == 0);
                let reply = client.post(address, CHAT, &body).await?;
                let expected = format!("{adapter}@2");
                let checked = if index % 2 == 0 {
                    streamed_answer(&reply, &expected, BURST_TOKENS)
                } else {
                    whole_answer(&reply, &expected, BURST_TOKENS)
                };
                let upstream = reply.header("x-monsoonspread-upstream").to_owned();
                Ok::<_, ClientError>((checked, upstream))
            }
        });
        let replies = try_join_all(sends).await?;
        let loads = self.region.weights.served().served - loads_before;
        let upstreams: BTreeSet<&String> = replies.iter().map(|(_, upstream)| upstream).collect();
        let wrong = replies
            .iter()
            .find_map(|(checked, _)| checked.clone().err());
        self.report.rows.push(Row {
            request: format!("{BURST_REQUESTS} at a time on {BURST_ADAPTERS} adapters"),
            entry: "all".to_owned(),
            upstream: format!("{} engines", upstreams.len()),
            outcome: format!("{} answers, {loads} loads", replies.len()),
            took_ms: started.elapsed().as_millis() as u64,
            wrong,
        });
        Ok(())
    }
}

fn chat(model: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": "Read the service note of bench 7."}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

fn whole_answer(reply: &Reply, adapter: &str, tokens: u32) -> Result<String, String> {
    let json = reply.json();
    let as_expected = reply.status == 200
        && reply.header("x-monsoonspread-adapter") == adapter
        && json["model"] == adapter
        && json["usage"]["completion_tokens"] == tokens;
    as_expected
        .then(|| adapter.to_owned())
        .ok_or_else(|| format!("{} {}", reply.status, reply.text))
}

fn streamed_answer(reply: &Reply, adapter: &str, tokens: u32) -> Result<String, String> {
    let events = events_of(&reply.text);
    let chunks: Vec<Value> = events
        .iter()
        .filter_map(|event| serde_json::from_str(&event.data).ok())
        .collect();
    let ends_whole = events.last().is_some_and(|event| event.data == "[DONE]");
    let right_adapter = chunks.iter().all(|chunk| chunk["model"] == adapter);
    let usage = chunks
        .iter()
        .find_map(|chunk| chunk["usage"]["completion_tokens"].as_u64());
    let as_expected = reply.status == 200
        && reply.header("x-monsoonspread-adapter") == adapter
        && ends_whole
        && right_adapter
        && usage == Some(u64::from(tokens));
    as_expected
        .then(|| format!("{adapter}, {} chunks", chunks.len()))
        .ok_or_else(|| format!("{} {}", reply.status, reply.text))
}
