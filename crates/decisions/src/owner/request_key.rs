//! Key that identifies a request across instances.

use monsoonspread_model::InstanceName;
use monsoonspread_model::message::RequestId;

/// Identifies a request by the instance that received it and its number there.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct RequestKey {
    /// The instance that received the request.
    pub instance: InstanceName,
    /// The request's number there.
    pub request: RequestId,
}

impl RequestKey {
    pub fn new(instance: &InstanceName, request: RequestId) -> Self {
        Self {
            instance: instance.clone(),
            request,
        }
    }
}
