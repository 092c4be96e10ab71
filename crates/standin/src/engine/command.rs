//! Messages to an engine's task.

use monsoonspread_model::LoadReport;
use tokio::sync::oneshot;

use super::EngineCounters;
use super::sequence::{Admission, NewRequest};

/// A message to an engine's task.
#[derive(Debug)]
pub(super) enum Command {
    /// Runs a request; the sender hears whether it was taken in.
    Generate(NewRequest, oneshot::Sender<Admission>),
    /// Loads a copy.
    Load(Order),
    /// Unloads a copy.
    Unload(Order),
    /// Notes a fencing number.
    Fence(Order),
    /// A load from the weight store ended.
    Fetched(Fetched),
    /// Asks for the load report.
    Report(oneshot::Sender<LoadReport>),
    /// Asks for the copies held.
    Models(oneshot::Sender<Vec<String>>),
    /// Asks for the counters.
    Counters(oneshot::Sender<EngineCounters>),
    /// Forgets everything, as the process died.
    Crash,
}

/// An order.
#[derive(Debug)]
pub(super) struct Order {
    /// Name of the copy; empty where the order names none.
    pub(super) copy: String,
    /// The fencing number, if one was sent.
    pub(super) fencing_number: Option<u64>,
    /// Hears the outcome.
    pub(super) outcome: oneshot::Sender<OrderOutcome>,
}

/// What became of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum OrderOutcome {
    /// Carried out.
    Done,
    /// Refused, as the engine has seen a higher fencing number.
    Fenced,
    /// There is no such copy.
    CopyMissing,
    /// Not carried out.
    Failed(String),
}

/// The end of a load from the weight store.
#[derive(Debug)]
pub(super) struct Fetched {
    /// Name of the copy.
    pub(super) copy: String,
    /// The engine's life in which the load began.
    pub(super) life: u64,
    /// Whether the weights are here.
    pub(super) result: Result<(), String>,
}
