//! Commands of the routing task.

use monsoonspread_decisions::service_route::{CallAction, CallResult, RouteDump, ServiceCall};
use tokio::sync::oneshot;

/// Call with its next action.
pub struct RoutedCall {
    /// Routed call.
    pub call: ServiceCall,
    /// Next action.
    pub action: CallAction,
}

/// Command for the routing task.
pub enum RouteCommand {
    /// Start a new call.
    Start {
        /// Call to route.
        call: ServiceCall,
        /// Receives the first action.
        reply: oneshot::Sender<RoutedCall>,
    },
    /// An attempt to send a call to a server ended.
    Ended {
        /// Call that was sent.
        call: ServiceCall,
        /// Result of the attempt.
        result: CallResult,
        /// Receives the next action.
        reply: oneshot::Sender<RoutedCall>,
    },
    /// Describe the task's state for the dump.
    Dump(oneshot::Sender<Vec<RouteDump>>),
}
