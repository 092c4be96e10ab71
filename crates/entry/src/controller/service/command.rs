//! What the routing task is told.

use monsoonspread_decisions::service_route::{CallAction, CallResult, RouteDump, ServiceCall};
use tokio::sync::oneshot;

/// A call with what to do next.
pub struct RoutedCall {
    /// The call.
    pub call: ServiceCall,
    /// What to do.
    pub action: CallAction,
}

/// A message to the routing task.
pub enum RouteCommand {
    /// A call is to be sent for the first time.
    Start {
        /// The call.
        call: ServiceCall,
        /// Told what to do.
        reply: oneshot::Sender<RoutedCall>,
    },
    /// Sending a call to a server ended.
    Ended {
        /// The call.
        call: ServiceCall,
        /// How.
        result: CallResult,
        /// Told what to do next.
        reply: oneshot::Sender<RoutedCall>,
    },
    /// Describe the task's state.
    Dump(oneshot::Sender<Vec<RouteDump>>),
}
