//! Calls of plain services: reads, commits, and repeats of a commit.

use serde_json::{Value, json};

use super::{Step, Tour};
use crate::client::{ClientError, Reply};

/// Key of the commit that is sent three times.
const OFFSET_KEY: &str = "offset-bench-7-0001";

impl Tour<'_> {
    pub(super) async fn service_calls(&mut self) -> Result<(), ClientError> {
        let read = self.call(
            "read an offset",
            "entry-1-1",
            "read",
            &[],
            json!({"bench": 7}),
        );
        self.send(read, |reply| ran(reply, false)).await?;
        let unkeyed = self.call(
            "commit without a key",
            "entry-2-1",
            "commit-offset",
            &[],
            json!({"offset": 3}),
        );
        self.send(unkeyed, |reply| ran(reply, false)).await?;
        let keyed: &[(&str, &str)] = &[("idempotency-key", OFFSET_KEY)];
        let first = self.call(
            "commit with a key",
            "entry-1-1",
            "commit-offset",
            keyed,
            json!({"offset": 4}),
        );
        let first = self.send(first, |reply| ran(reply, false)).await?;
        let repeat = self.call(
            "the same commit again, elsewhere",
            "entry-3-1",
            "commit-offset",
            keyed,
            json!({"offset": 4}),
        );
        let runs = self.region.services.values();
        let runs: u64 = runs.map(|server| server.runs_of_key(OFFSET_KEY)).sum();
        self.send(repeat, |reply| {
            let once = reply.text == first.text && runs == 1;
            if !once {
                return Err(format!("ran {runs} times: {}", reply.text));
            }
            ran(reply, true)
        })
        .await?;
        let other_body = self.call(
            "the same key with another body",
            "entry-2-1",
            "commit-offset",
            keyed,
            json!({"offset": 5}),
        );
        self.send(other_body, |reply| {
            super::refused(reply, 409, "key_conflict")
        })
        .await?;
        let runs = self.region.services.values();
        let runs: u64 = runs.map(|server| server.runs_of_key(OFFSET_KEY)).sum();
        if runs != 1
            && let Some(last) = self.report.rows.last_mut()
        {
            last.wrong = Some(format!("the keyed commit ran {runs} times"));
        }
        Ok(())
    }

    fn call<'s>(
        &self,
        title: &'s str,
        entry: &'s str,
        call: &str,
        headers: &'s [(&'s str, &'s str)],
        body: Value,
    ) -> Step<'s> {
        Step {
            title,
            entry,
            client: self.bench.clone(),
            method: "POST",
            path: if call == "read-offset" {
                "/v1/services/records/read-offset"
            } else {
                "/v1/services/records/commit-offset"
            },
            headers,
            body,
        }
    }
}

fn ran(reply: &Reply, replayed: bool) -> Result<String, String> {
    let is_replayed = reply.header("x-monsoonspread-replayed") == "true";
    let json = reply.json();
    if reply.status != 200 || is_replayed != replayed {
        return Err(format!("{} {}", reply.status, reply.text));
    }
    let server = json["server"].as_str().unwrap_or_default().to_owned();
    let how = if replayed { "stored answer" } else { "ran" };
    Ok(format!("{how} on {server}"))
}
