//! The engine's HTTP API: OpenAI's calls and vLLM's orders.

use std::io;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde_json::{Value, json as json_value};
use tokio::sync::{mpsc, oneshot};

use super::Engine;
use super::chunk::ChunkFormat;
use super::command::{Command, Order, OrderOutcome};
use super::prompt::Prompt;
use super::sequence::{Admission, NewRequest, Piece};
use crate::server::{
    Answer, AnswerBody, StandIn, TookEffect, drop_connection, empty, json, not_run, streamed,
};

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const FENCING_HEADER: &str = "x-fencing-number";
const REQUEST_ID_HEADER: &str = "x-request-id";

#[async_trait]
impl StandIn for Engine {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
        };
        let body = body.to_bytes();
        match (&head.method, head.uri.path()) {
            (&Method::POST, path @ ("/v1/chat/completions" | "/v1/completions")) => {
                self.generate(path, &head.headers, &body).await
            }
            (&Method::POST, "/v1/load_lora_adapter") => {
                self.order(&head.headers, &body, Command::Load).await
            }
            (&Method::POST, "/v1/unload_lora_adapter") => {
                self.order(&head.headers, &body, Command::Unload).await
            }
            (&Method::POST, "/v1/fence") => self.order(&head.headers, b"{}", Command::Fence).await,
            (&Method::GET, "/load") => Ok(json(StatusCode::OK, &self.ask(Command::Report).await?)),
            (&Method::GET, "/v1/models") => self.models().await,
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    fn crash(&self) {
        let _ = self.commands.send(Command::Crash);
    }

    async fn counters(&self) -> Value {
        json_value!(self.did().await)
    }
}

impl Engine {
    /// Sends a command that is answered.
    pub(super) async fn ask<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> io::Result<T> {
        let (sender, answer) = oneshot::channel();
        let _ = self.commands.send(command(sender));
        answer.await.map_err(|_| drop_connection("the engine died"))
    }

    async fn models(&self) -> Answer {
        let models = self.ask(Command::Models).await?;
        let data = models
            .iter()
            .map(|id| json_value!({ "id": id, "object": "model" }))
            .collect::<Vec<_>>();
        let list = json_value!({ "object": "list", "data": data });
        Ok(json(StatusCode::OK, &list))
    }

    async fn order(
        &self,
        headers: &HeaderMap,
        body: &[u8],
        command: fn(Order) -> Command,
    ) -> Answer {
        let copy = serde_json::from_slice::<Value>(body)
            .ok()
            .and_then(|body| body.get("lora_name")?.as_str().map(str::to_owned))
            .unwrap_or_default();
        let fencing_number = header(headers, FENCING_HEADER).and_then(|text| text.parse().ok());
        let outcome = self
            .ask(|outcome| {
                command(Order {
                    copy,
                    fencing_number,
                    outcome,
                })
            })
            .await?;
        let mut response = order_answer(&outcome);
        response.extensions_mut().insert(TookEffect);
        Ok(response)
    }

    async fn generate(&self, path: &str, headers: &HeaderMap, body: &[u8]) -> Answer {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return bad_request("the body is not JSON");
        };
        let Some(model) = body["model"].as_str() else {
            return bad_request("\"model\" is missing");
        };
        let request_id = header(headers, REQUEST_ID_HEADER).unwrap_or_default();
        let prompt = Prompt::of_body(&body, model);
        let format = ChunkFormat::new(path, request_id, model, &prompt);
        let (sender, pieces) = mpsc::unbounded_channel();
        let request = NewRequest {
            model: model.to_owned(),
            request_id: request_id.to_owned(),
            prompt,
            priority: body["priority"].as_i64().unwrap_or(0),
            pieces: sender,
        };
        let admission = self.ask(|taken| Command::Generate(request, taken)).await?;
        match admission {
            Admission::CopyMissing => return Ok(missing(model)),
            Admission::Refused(why) => return Ok(not_run(why)),
            Admission::Taken => {}
        }
        if body["stream"].as_bool().unwrap_or(false) {
            Ok(streamed("text/event-stream", events(pieces, format)))
        } else {
            whole(pieces, &format).await
        }
    }
}

/// The events of a streamed answer.
fn events(
    pieces: mpsc::UnboundedReceiver<Piece>,
    format: ChunkFormat,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> + Send + 'static {
    stream::unfold((pieces, format), |(mut pieces, format)| async move {
        let event = match pieces.recv().await? {
            Piece::Text(text) => Ok(format.chunk(&text)),
            Piece::Done { tokens } => Ok(format.last(tokens)),
            Piece::Cut(why) => Err(drop_connection(why)),
        };
        Some((event, (pieces, format)))
    })
}

/// A whole answer.
async fn whole(mut pieces: mpsc::UnboundedReceiver<Piece>, format: &ChunkFormat) -> Answer {
    let mut answer = String::new();
    loop {
        match pieces.recv().await {
            Some(Piece::Text(text)) => answer.push_str(&text),
            Some(Piece::Done { tokens }) => {
                return Ok(json(StatusCode::OK, &format.whole(&answer, tokens)));
            }
            Some(Piece::Cut(why)) => return Err(drop_connection(why)),
            None => return Err(drop_connection("the engine died")),
        }
    }
}

fn order_answer(outcome: &OrderOutcome) -> Response<AnswerBody> {
    let error = |status, text: &str| json(status, &json_value!({ "error": text }));
    match outcome {
        OrderOutcome::Done => json(StatusCode::OK, &json_value!({ "done": true })),
        OrderOutcome::Fenced => error(StatusCode::CONFLICT, "a higher fencing number was seen"),
        OrderOutcome::CopyMissing => error(StatusCode::NOT_FOUND, "no such adapter"),
        OrderOutcome::Failed(why) => error(StatusCode::INTERNAL_SERVER_ERROR, why),
    }
}

fn missing(model: &str) -> Response<AnswerBody> {
    let message = format!("The model `{model}` does not exist.");
    let body =
        json_value!({ "error": { "message": message, "type": "NotFoundError", "code": 404 } });
    json(StatusCode::NOT_FOUND, &body)
}

fn bad_request(message: &str) -> Answer {
    let body = json_value!({ "error": { "message": message } });
    Ok(json(StatusCode::BAD_REQUEST, &body))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
