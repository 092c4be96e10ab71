//! Aims and whether a comparison reached them.

use std::fmt;

use monsoonspread_model::RequestClass;
use serde::Serialize;

use super::{Comparison, PolicyReport};
use crate::plan::Phase;

/// The policy that the aims are about.
const JUDGED: &str = "monsoonspread";
/// Highest p99 of short work with long work over that without.
const HEAD_OF_LINE_AT_MOST: f64 = 1.2;
/// Lowest requests in time at the crest over the best baseline's.
const CREST_AT_LEAST: f64 = 1.5;
/// Highest time waited for loads over the best baseline's.
const LOAD_WAIT_AT_MOST: f64 = 0.5;
/// Highest p99 with slowed engines over that without.
const SLOWED_AT_MOST: f64 = 1.5;

/// One aim and what was reached.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Aim {
    /// What is compared.
    pub name: &'static str,
    /// The ratio that was measured.
    pub ratio: f64,
    /// The ratio aimed at.
    pub bound: f64,
    /// Whether the ratio may be at most the bound; else it must be at least that.
    pub at_most: bool,
}

impl Aim {
    /// Whether it was reached.
    ///
    /// ```
    /// # use monsoonspread_load::compare::Aim;
    /// let aim = Aim { name: "x", ratio: 1.1, bound: 1.2, at_most: true };
    /// assert!(aim.reached());
    /// ```
    pub fn reached(&self) -> bool {
        if self.at_most {
            self.ratio <= self.bound
        } else {
            self.ratio >= self.bound
        }
    }

    /// The aims on a comparison; none when it lacks the judged policy or a baseline.
    pub fn all(comparison: &Comparison) -> Vec<Aim> {
        let (judged, baselines): (Vec<&PolicyReport>, Vec<&PolicyReport>) = comparison
            .policies
            .iter()
            .partition(|report| report.policy == JUDGED);
        let Some(judged) = judged.first().copied().filter(|_| !baselines.is_empty()) else {
            return Vec::new();
        };
        let most =
            |of: fn(&PolicyReport) -> f64| baselines.iter().map(|one| of(one)).fold(0.0, f64::max);
        let least = |of: fn(&PolicyReport) -> f64| {
            baselines.iter().map(|one| of(one)).fold(f64::MAX, f64::min)
        };
        vec![
            Aim {
                name: "p99 first token of short work with long work over without",
                ratio: head_of_line(judged),
                bound: HEAD_OF_LINE_AT_MOST,
                at_most: true,
            },
            Aim {
                name: "requests in time at the crest over the best baseline's",
                ratio: ratio(crest_in_time(judged), most(crest_in_time)),
                bound: CREST_AT_LEAST,
                at_most: false,
            },
            Aim {
                name: "time waited for loads by request in time over the best baseline's",
                ratio: ratio(load_wait(judged), least(load_wait)),
                bound: LOAD_WAIT_AT_MOST,
                at_most: true,
            },
            Aim {
                name: "p99 first token with slowed engines over without",
                ratio: slowed(judged),
                bound: SLOWED_AT_MOST,
                at_most: true,
            },
        ]
    }
}

impl fmt::Display for Aim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name, ratio, bound, ..
        } = self;
        let relation = if self.at_most { "at most" } else { "at least" };
        let verdict = if self.reached() {
            "reached"
        } else {
            "NOT reached"
        };
        write!(
            f,
            "{verdict:<11} {name}: {ratio:.2}, aim {relation} {bound}"
        )
    }
}

/// p99 of short work's first token with long work over that without.
pub fn head_of_line(report: &PolicyReport) -> f64 {
    let p99_ms = |phase| {
        report
            .phase(phase)
            .class(RequestClass::Short)
            .first_token
            .p99_ms
    };
    ratio(p99_ms(Phase::WithLong), p99_ms(Phase::WithoutLong))
}

/// p99 of the first token with slowed engines over that without.
pub fn slowed(report: &PolicyReport) -> f64 {
    let p99_ms = |phase| report.phase(phase).all.first_token.p99_ms;
    ratio(p99_ms(Phase::Slowed), p99_ms(Phase::WithLong))
}

fn crest_in_time(report: &PolicyReport) -> f64 {
    report.phase(Phase::Swing).crest.in_time as f64
}

/// Time waited for loads for each request in time, over all measured phases.
///
/// A policy that answers little would else look good, since nobody waits who has given up.
fn load_wait(report: &PolicyReport) -> f64 {
    let measured = || {
        let phases = report.phases.iter();
        phases.filter(|phase| phase.figures.phase != Phase::WarmUp)
    };
    let waited_ms: u64 = measured().map(|phase| phase.figures.load_wait_ms).sum();
    let in_time: u64 = measured().map(|phase| phase.all.in_time).sum();
    ratio(waited_ms as f64, in_time as f64)
}

fn ratio(value: f64, base: f64) -> f64 {
    if base > 0.0 {
        value / base
    } else {
        f64::INFINITY
    }
}
