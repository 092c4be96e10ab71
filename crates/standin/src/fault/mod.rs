//! Faults that are switched at run time.

mod fault_state;

pub use fault_state::FaultState;

use serde::{Deserialize, Serialize};

/// One switch of a stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// Takes `factor` times as long for everything; 1 is the usual speed.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// Stops as by a stop signal: connections stay open and nothing is answered.
    Pause,
    /// Goes on after a pause, unaware of it.
    Resume,
    /// Dies: drops every connection, loses its state and refuses connections until `start`.
    Crash,
    /// Starts again after a crash.
    Start,
    /// Dies and starts again by itself after its cold start.
    Restart,
    /// Fails the next loads.
    FailLoads {
        /// How many.
        count: u32,
    },
    /// Refuses every request before running it.
    Refuse {
        /// Whether it does.
        on: bool,
    },
    /// Carries out the next writes, orders or calls, then drops the connection unanswered.
    LoseAnswers {
        /// How many.
        count: u32,
    },
    /// Answers later.
    DelayAnswers {
        /// How much later.
        delay_ms: u64,
    },
    /// Cuts off the named peers and nobody else.
    Cut {
        /// Names, as sent in `x-peer`.
        peers: Vec<String>,
    },
    /// Ends the next generated streams in the middle, without their last event.
    CutStreams {
        /// How many.
        count: u32,
    },
    /// Takes no new work but finishes what it runs.
    Drain {
        /// Whether it does.
        on: bool,
    },
    /// Switches every fault off; a crashed stand-in starts.
    Clear,
}
