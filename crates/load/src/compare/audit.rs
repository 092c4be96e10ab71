//! Checking what the engines ran against what was asked for.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::client::{marker, wanted_model};
use crate::fleet::RunsByMarker;
use crate::plan::Plan;
use crate::record::{Ending, Outcome};

/// What the engines' records say against the plan and the answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Audit {
    /// Runs on another adapter or version than asked for.
    pub wrong_runs: u64,
    /// Requests that entered a batch more than once.
    pub run_again: u64,
    /// Requests refused as not run that ran.
    pub false_not_run: u64,
    /// Answers to something else, or with a wrong length.
    pub wrong_answers: u64,
}

impl Audit {
    /// Checks `runs` and `outcomes` against `plan`.
    pub fn new(plan: &Plan, runs: &RunsByMarker, outcomes: &[Outcome]) -> Self {
        let wanted: BTreeMap<String, String> = plan
            .requests
            .iter()
            .map(|request| (marker(request), wanted_model(request)))
            .collect();
        let wrong = |(marker, adapters): (&String, &Vec<String>)| {
            let is_wrong = |adapter: &&String| Some(*adapter) != wanted.get(marker);
            adapters.iter().filter(is_wrong).count() as u64
        };
        let count = |of: &dyn Fn(&Outcome) -> bool| {
            outcomes.iter().filter(|outcome| of(outcome)).count() as u64
        };
        Self {
            wrong_runs: runs.iter().map(wrong).sum(),
            run_again: runs.values().filter(|adapters| adapters.len() > 1).count() as u64,
            false_not_run: count(&|outcome| {
                outcome.said_not_run && runs.contains_key(&marker(&outcome.request))
            }),
            wrong_answers: count(&|outcome| matches!(outcome.ending, Ending::Wrong(_))),
        }
    }
}
