//! One call of a client.

use std::net::SocketAddr;

use crate::plan::PlannedRequest;

/// Where and how a request is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Address of the upstream or entry instance.
    pub address: SocketAddr,
    /// What to write in `model`.
    pub model: String,
    /// The caller's key, where the target wants one.
    pub api_key: Option<String>,
}

/// Name of adapter `number`.
pub fn adapter_name(number: u32) -> String {
    format!("adapter-{number:05}")
}

/// Name of caller `number`.
pub fn caller_name(number: u32) -> String {
    format!("caller-{number:03}")
}

/// API key of caller `number`.
pub fn caller_key(number: u32) -> String {
    format!("load-key-{number:03}")
}

/// The adapter version that every request asks for.
pub const ADAPTER_VERSION: u32 = 1;

/// The adapter and version that `request` must run on.
pub fn wanted_model(request: &PlannedRequest) -> String {
    format!("{}@{ADAPTER_VERSION}", adapter_name(request.adapter))
}
