//! What the demo shows.

use std::fmt;

/// One request with its answer.
#[derive(Clone, Debug)]
pub struct Row {
    /// What was sent.
    pub request: String,
    /// The entry instance that took it.
    pub entry: String,
    /// The upstream that ran it.
    pub upstream: String,
    /// What ran, or why nothing did.
    pub outcome: String,
    /// From sending to the end of the answer.
    pub took_ms: u64,
    /// What is wrong with the answer, if anything.
    pub wrong: Option<String>,
}

/// Every request of the demo.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The requests in order.
    pub rows: Vec<Row>,
}

impl Report {
    /// Whether each answer was right.
    pub fn is_right(&self) -> bool {
        self.rows.iter().all(|row| row.wrong.is_none())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<44} {:<10} {:<11} {:<34} {:>6}  ok",
            "request", "entry", "upstream", "ran / refused", "ms"
        )?;
        for row in &self.rows {
            let verdict = row.wrong.as_deref().unwrap_or("yes");
            writeln!(
                f,
                "{:<44} {:<10} {:<11} {:<34} {:>6}  {verdict}",
                row.request, row.entry, row.upstream, row.outcome, row.took_ms
            )?;
        }
        Ok(())
    }
}
