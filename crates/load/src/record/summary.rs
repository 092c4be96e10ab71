//! What a set of requests saw.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{Ending, Outcome, Quantiles};

/// What a set of requests saw.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers that began by the deadline.
    pub in_time: u64,
    /// Whole answers.
    pub answered: u64,
    /// Clients that gave up at the deadline.
    pub gave_up: u64,
    /// Answers that broke off.
    pub broken: u64,
    /// Answers to something else.
    pub wrong: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Time to the first token, with those who gave up as far as they waited.
    pub first_token: Quantiles,
    /// Time to the last token of whole answers.
    pub total: Quantiles,
}

impl Summary {
    /// Sums up `outcomes`.
    pub fn of<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> Self {
        let outcomes: Vec<&Outcome> = outcomes.collect();
        let mut summary = Self {
            sent: outcomes.len() as u64,
            first_token: Quantiles::of(outcomes.iter().filter_map(|outcome| outcome.waited_us())),
            total: Quantiles::of(answered(&outcomes).map(|outcome| outcome.total_us)),
            ..Self::default()
        };
        for outcome in outcomes {
            summary.count(outcome);
        }
        summary
    }

    /// Share of the requests whose whole answer began by the deadline.
    pub fn in_time_share(&self) -> f64 {
        share(self.in_time, self.sent)
    }

    /// Share of the requests that were refused.
    pub fn refused_share(&self) -> f64 {
        share(self.refused.values().sum(), self.sent)
    }

    fn count(&mut self, outcome: &Outcome) {
        self.in_time += u64::from(outcome.in_time());
        match &outcome.ending {
            Ending::Answered => self.answered += 1,
            Ending::Refused(reason) => *self.refused.entry(reason.as_str()).or_default() += 1,
            Ending::GaveUp => self.gave_up += 1,
            Ending::Broken(_) => self.broken += 1,
            Ending::Wrong(_) => self.wrong += 1,
        }
    }
}

fn answered<'a>(outcomes: &'a [&Outcome]) -> impl Iterator<Item = &'a Outcome> {
    outcomes
        .iter()
        .copied()
        .filter(|outcome| outcome.ending == Ending::Answered)
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}
