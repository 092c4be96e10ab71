//! Requests that must be refused without running.

use serde_json::{Value, json};

use super::{Step, Tour, refused};
use crate::client::{Client, ClientError};

/// A request that is refused.
struct Wrong {
    title: &'static str,
    client: Client,
    method: &'static str,
    path: &'static str,
    body: Value,
    status: u16,
    error_type: &'static str,
}

const CHAT: &str = "/v1/chat/completions";

impl Tour<'_> {
    pub(super) async fn refusals(&mut self) -> Result<(), ClientError> {
        for wrong in self.wrong_requests() {
            let step = Step {
                title: wrong.title,
                entry: "entry-1-1",
                client: wrong.client,
                method: wrong.method,
                path: wrong.path,
                headers: &[],
                body: wrong.body,
            };
            self.send(step, |reply| refused(reply, wrong.status, wrong.error_type))
                .await?;
        }
        Ok(())
    }

    fn wrong_requests(&self) -> Vec<Wrong> {
        let chat =
            |model: &str| json!({"model": model, "messages": [{"role": "user", "content": "x"}]});
        let bench = |title, body, status, error_type| Wrong {
            title,
            client: self.bench.clone(),
            method: "POST",
            path: CHAT,
            body,
            status,
            error_type,
        };
        vec![
            bench("body is not JSON", json!("{nonsense"), 400, "bad_request"),
            bench("unknown adapter", chat("nobody"), 404, "not_found"),
            bench(
                "version not offered",
                chat("needle-0002@9"),
                404,
                "not_found",
            ),
            bench(
                "another caller's adapter",
                chat("verse-0001"),
                403,
                "forbidden",
            ),
            bench(
                "body too large",
                json!("x".repeat(2 * 1024 * 1024)),
                413,
                "body_too_large",
            ),
            Wrong {
                client: Client::new("wrong-key"),
                ..bench(
                    "unknown API key",
                    chat("needle-0002"),
                    401,
                    "unauthenticated",
                )
            },
            Wrong {
                method: "GET",
                ..bench("wrong method", Value::Null, 405, "method_not_allowed")
            },
            Wrong {
                path: "/v1/services/calendar/dispatch-card",
                ..bench("another caller's service", json!({}), 403, "forbidden")
            },
        ]
    }
}
