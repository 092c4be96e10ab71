//! Identity of a request across instances.

use monsoonspread_model::InstanceName;
use monsoonspread_model::message::RequestId;

/// A request and the instance that received it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct RequestKey {
    /// The instance.
    pub instance: InstanceName,
    /// The request's number there.
    pub request: RequestId,
}

impl RequestKey {
    /// Names `request` of `instance`.
    pub fn new(instance: &InstanceName, request: RequestId) -> Self {
        Self {
            instance: instance.clone(),
            request,
        }
    }
}
