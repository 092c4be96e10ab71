//! Requests of every kind, each with the check of its answer.

mod generations;
mod refusals;
mod service_calls;

use std::time::Instant;

use monsoonspread_model::bundle::{SAMPLE_BENCH, SAMPLE_CARDS};
use serde_json::Value;

use crate::client::{Client, ClientError, Reply};
use crate::region::Region;
use crate::report::{Report, Row};

/// Sends requests to a region and checks the answers.
pub struct Tour<'a> {
    region: &'a Region,
    bench: Client,
    cards: Client,
    report: Report,
}

/// One request of the tour.
struct Step<'a> {
    title: &'a str,
    entry: &'a str,
    client: Client,
    method: &'a str,
    path: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: Value,
}

impl<'a> Tour<'a> {
    /// A tour of `region`.
    pub fn new(region: &'a Region) -> Self {
        Self {
            region,
            bench: Client::new(SAMPLE_BENCH.key),
            cards: Client::new(SAMPLE_CARDS.key),
            report: Report::default(),
        }
    }

    /// Sends every request and returns what came of it.
    ///
    /// # Errors
    ///
    /// Fails when a connection to an entry instance breaks.
    pub async fn run(mut self) -> Result<Report, ClientError> {
        self.generations().await?;
        self.service_calls().await?;
        self.refusals().await?;
        Ok(self.report)
    }

    async fn send(
        &mut self,
        step: Step<'_>,
        check: impl FnOnce(&Reply) -> Result<String, String>,
    ) -> Result<Reply, ClientError> {
        let started = Instant::now();
        let address = self.region.callers_address(step.entry);
        let body = match &step.body {
            Value::Null => String::new(),
            Value::String(raw) => raw.clone(),
            json => json.to_string(),
        };
        let reply = step
            .client
            .send(step.method, address, step.path, step.headers, &body)
            .await?;
        let took_ms = started.elapsed().as_millis() as u64;
        let checked = check(&reply);
        self.report.rows.push(Row {
            request: step.title.to_owned(),
            entry: reply.header("x-monsoonspread-instance").to_owned(),
            upstream: reply.header("x-monsoonspread-upstream").to_owned(),
            outcome: checked.clone().unwrap_or_else(|_| reply.error_type()),
            took_ms,
            wrong: checked.err(),
        });
        Ok(reply)
    }
}

/// Checks a refusal's status, type and whether it says that nothing ran.
fn refused(reply: &Reply, status: u16, error_type: &str) -> Result<String, String> {
    let as_expected =
        reply.status == status && reply.error_type() == error_type && reply.says_not_run();
    if !as_expected {
        return Err(format!(
            "expected {status} {error_type}, got {} {}",
            reply.status, reply.text
        ));
    }
    Ok(format!("{status} {error_type}, not run"))
}
