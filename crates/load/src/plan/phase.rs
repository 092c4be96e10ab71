//! Phases of a run.

use serde::Serialize;

use crate::workload::Phases;

/// A part of a run that is measured on its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Steady load without long work that is not measured.
    WarmUp,
    /// Steady load without long work.
    WithoutLong,
    /// The same load with long work.
    WithLong,
    /// The same load with long work and some engines slowed.
    Slowed,
    /// Crests, shifts of popularity and slowed engines.
    Swing,
}

impl Phase {
    /// Every phase in the order of a run.
    pub const ALL: [Phase; 5] = [
        Phase::WarmUp,
        Phase::WithoutLong,
        Phase::WithLong,
        Phase::Slowed,
        Phase::Swing,
    ];

    /// How long the phase lasts.
    pub fn length_s(self, phases: &Phases) -> f64 {
        match self {
            Phase::WarmUp => phases.warm_up_s,
            Phase::Swing => phases.swing_s,
            Phase::WithoutLong | Phase::WithLong | Phase::Slowed => phases.steady_s,
        }
    }

    /// The phase's name in reports.
    ///
    /// ```
    /// # use monsoonspread_load::plan::Phase;
    /// assert_eq!(Phase::WarmUp.as_str(), "warm_up");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::WarmUp => "warm_up",
            Phase::WithoutLong => "without_long",
            Phase::WithLong => "with_long",
            Phase::Slowed => "slowed",
            Phase::Swing => "swing",
        }
    }
}
