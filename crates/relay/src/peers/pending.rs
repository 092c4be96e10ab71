//! Requests to another instance that wait for an answer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use monsoonspread_decisions::copies::EngineQuote;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::link::Answer;
use super::message::{PeerPermit, PeerQuota, PlaceAnswer};

/// Requests waiting for an answer, by number.
pub(super) type Pending<T> = Rc<RefCell<HashMap<u64, T>>>;

/// A copy request that waits for its answer.
pub(super) struct PendingRequest {
    /// Whether the holder acknowledged the request.
    pub(super) received: Rc<Cell<bool>>,
    pub(super) answer: oneshot::Sender<Answer>,
}

/// Requests to one instance that wait for an answer; clones share them.
#[derive(Clone, Default)]
pub(super) struct PendingAnswers {
    pub(super) copies: Pending<PendingRequest>,
    pub(super) quotes: Pending<oneshot::Sender<Option<EngineQuote>>>,
    pub(super) permits: Pending<oneshot::Sender<PeerPermit>>,
    pub(super) quotas: Pending<oneshot::Sender<PeerQuota>>,
    /// Requests for places; several answers may come.
    pub(super) places: Pending<UnboundedSender<PlaceAnswer>>,
}

impl PendingAnswers {
    /// Ends all waits without an answer.
    pub(super) fn clear(&self) {
        self.copies.borrow_mut().clear();
        self.quotes.borrow_mut().clear();
        self.permits.borrow_mut().clear();
        self.quotas.borrow_mut().clear();
        self.places.borrow_mut().clear();
    }
}

/// Adds a request that waits for an answer, and drops those that stopped waiting.
pub(super) fn add_pending<T>(
    pending: &Pending<oneshot::Sender<T>>,
    number: u64,
) -> oneshot::Receiver<T> {
    let (answer, answered) = oneshot::channel();
    let mut pending = pending.borrow_mut();
    pending.retain(|_, waiting| !waiting.is_closed());
    pending.insert(number, answer);
    answered
}
