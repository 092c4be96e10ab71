//! Numbered log events with `key=value` fields.

mod catalogue;
mod code;
mod value;

#[cfg(test)]
mod tests;

use std::fmt;
use std::net::SocketAddr;

use monsoonspread_model::{
    BundleVersion, Epoch, Fingerprint, InstanceName, RefusalReason, ServiceName, UpstreamName,
    ZoneName,
};

pub use catalogue::{CATALOGUE, CatalogueEntry, catalogue_markdown};
pub use code::EventCode;
use value::Value;

/// Log event for operators.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// All listeners of the instance are open.
    Started {
        /// Name of the instance.
        instance: &'a InstanceName,
        /// Availability zone of the instance.
        zone: &'a ZoneName,
        /// Address of the callers' listener.
        callers: SocketAddr,
        /// Address of the operators' listener.
        operators: SocketAddr,
        /// Address of the mesh listener.
        mesh: SocketAddr,
    },
    /// A planned stop began.
    DrainBegun {
        /// Number of requests in flight.
        in_flight: usize,
    },
    /// A planned stop ended.
    Stopped {
        /// Name of the instance.
        instance: &'a InstanceName,
    },
    /// A peer could not be connected to.
    PeerUnreachable {
        /// The peer.
        peer: &'a InstanceName,
    },
    /// A connection failed its handshake.
    PeerRejected {
        /// Address of the peer.
        address: SocketAddr,
        /// Reason of the failure.
        error: &'a str,
    },
    /// The health of a member of the zone changed.
    MemberChanged {
        /// The member.
        member: &'a InstanceName,
        /// New health of the member.
        health: &'a dyn fmt::Debug,
    },
    /// A request was refused because it is invalid.
    BadRequest {
        /// Address of the peer.
        address: SocketAddr,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Message sent to the caller.
        message: &'a str,
    },
    /// An engine's response named a different copy than the granted one.
    WrongAdapter {
        /// The engine.
        upstream: &'a UpstreamName,
        /// Name of the granted copy.
        expected: &'a str,
    },
    /// A stream ended before the response was complete.
    StreamBroken {
        /// The engine.
        upstream: &'a UpstreamName,
        /// Error message.
        error: &'a str,
    },
    /// The dispatcher's state machine emitted an event.
    DispatchNotice {
        /// Event of the state machine.
        notice: &'a dyn fmt::Debug,
    },
    /// The instance list could not be read.
    ListUnavailable {
        /// Error message.
        error: &'a str,
    },
    /// The instance list can be read again.
    ListAvailable,
    /// A row of the instance list names no instance.
    RowInvalid {
        /// Error message.
        error: &'a str,
    },
    /// This instance became the owner of an upstream.
    OwnershipTaken {
        /// The upstream.
        upstream: &'a UpstreamName,
        /// Epoch of the ownership, used as the fencing token.
        epoch: Epoch,
    },
    /// This instance is no longer the owner of an upstream.
    OwnershipEnded {
        /// The upstream.
        upstream: &'a UpstreamName,
        /// Epoch of the ownership, used as the fencing token.
        epoch: Epoch,
    },
    /// An order to an engine failed.
    OrderFailed {
        /// The engine.
        upstream: &'a UpstreamName,
        /// Kind of order.
        order: &'a str,
        /// Error message.
        error: &'a str,
    },
    /// The owner's state machine emitted an event.
    OwnerNotice {
        /// Event of the state machine.
        notice: &'a dyn fmt::Debug,
    },
    /// The ownership table's state machine emitted an event.
    OwnershipNotice {
        /// Event of the state machine.
        notice: &'a dyn fmt::Debug,
    },
    /// A bundle is in force.
    BundleInForce {
        /// Version of the bundle.
        version: BundleVersion,
    },
    /// The state machine for bundle distribution emitted an event.
    BundleNotice {
        /// Event of the state machine.
        notice: &'a dyn fmt::Debug,
    },
    /// A call to the key-value service failed.
    StoreUnavailable {
        /// Name of the call.
        call: &'a str,
        /// Error message.
        error: &'a str,
    },
    /// The response to a call that must not be repeated was lost.
    OutcomeUnknown {
        /// The service.
        service: &'a ServiceName,
        /// The call.
        call: &'a str,
    },
    /// An upstream failed while running a request.
    CrashSuspected {
        /// The upstream.
        upstream: &'a UpstreamName,
        /// The request's fingerprint.
        fingerprint: Fingerprint,
    },
    /// The membership's state machine emitted an event.
    MembershipNotice {
        /// Event of the state machine.
        notice: &'a dyn fmt::Debug,
    },
    /// The queue of a task was full and a message was dropped.
    QueueFull {
        /// Name of the receiving task.
        task: &'a str,
    },
    /// Metrics can't be sent to the statsd address.
    MetricsUnavailable {
        /// Error message.
        error: &'a str,
    },
}

impl Event<'_> {
    /// Returns the event number.
    ///
    /// ```
    /// # use monsoonspread_entry::event::Event;
    /// assert_eq!(Event::ListAvailable.code().to_string(), "MS1402");
    /// ```
    pub fn code(&self) -> EventCode {
        EventCode(match self {
            Self::Started { .. } => 1001,
            Self::DrainBegun { .. } => 1002,
            Self::Stopped { .. } => 1003,
            Self::QueueFull { .. } => 1004,
            Self::MetricsUnavailable { .. } => 1005,
            Self::PeerUnreachable { .. } => 1201,
            Self::PeerRejected { .. } => 1202,
            Self::MemberChanged { .. } => 1203,
            Self::MembershipNotice { .. } => 1204,
            Self::BadRequest { .. } => 1301,
            Self::WrongAdapter { .. } => 1302,
            Self::StreamBroken { .. } => 1303,
            Self::DispatchNotice { .. } => 1304,
            Self::ListUnavailable { .. } => 1401,
            Self::ListAvailable => 1402,
            Self::RowInvalid { .. } => 1403,
            Self::OwnershipTaken { .. } => 1501,
            Self::OwnershipEnded { .. } => 1502,
            Self::OwnershipNotice { .. } => 1503,
            Self::OrderFailed { .. } => 1601,
            Self::OwnerNotice { .. } => 1602,
            Self::BundleInForce { .. } => 1701,
            Self::BundleNotice { .. } => 1702,
            Self::StoreUnavailable { .. } => 1801,
            Self::OutcomeUnknown { .. } => 1802,
            Self::CrashSuspected { .. } => 1901,
        })
    }

    /// Writes the event to the log at its level.
    pub fn log(&self) {
        let level = self
            .code()
            .entry()
            .map_or(log::Level::Warn, |entry| entry.level);
        log::log!(target: "monsoonspread", level, "{self}");
    }

    fn fields(&self) -> Vec<Value> {
        match self {
            Self::Started {
                instance,
                zone,
                callers,
                operators,
                mesh,
            } => vec![
                Value::new("instance", instance),
                Value::new("zone", zone),
                Value::new("callers", callers),
                Value::new("operators", operators),
                Value::new("mesh", mesh),
            ],
            Self::DrainBegun { in_flight } => vec![Value::new("in_flight", in_flight)],
            Self::Stopped { instance } => vec![Value::new("instance", instance)],
            Self::PeerUnreachable { peer } => vec![Value::new("peer", peer)],
            Self::PeerRejected { address, error } => {
                vec![Value::new("address", address), Value::new("error", error)]
            }
            Self::MemberChanged { member, health } => {
                vec![Value::new("member", member), Value::debug("health", health)]
            }
            Self::BadRequest {
                address,
                reason,
                message,
            } => vec![
                Value::new("address", address),
                Value::new("reason", &reason.as_str()),
                Value::new("message", message),
            ],
            Self::WrongAdapter { upstream, expected } => vec![
                Value::new("upstream", upstream),
                Value::new("expected", expected),
            ],
            Self::StreamBroken { upstream, error } => {
                vec![Value::new("upstream", upstream), Value::new("error", error)]
            }
            Self::ListUnavailable { error }
            | Self::RowInvalid { error }
            | Self::MetricsUnavailable { error } => {
                vec![Value::new("error", error)]
            }
            Self::ListAvailable => Vec::new(),
            Self::OwnershipTaken { upstream, epoch } | Self::OwnershipEnded { upstream, epoch } => {
                vec![Value::new("upstream", upstream), Value::new("epoch", epoch)]
            }
            Self::OrderFailed {
                upstream,
                order,
                error,
            } => vec![
                Value::new("upstream", upstream),
                Value::new("order", order),
                Value::new("error", error),
            ],
            Self::OwnerNotice { notice }
            | Self::DispatchNotice { notice }
            | Self::OwnershipNotice { notice }
            | Self::MembershipNotice { notice }
            | Self::BundleNotice { notice } => vec![Value::debug("notice", notice)],
            Self::BundleInForce { version } => vec![Value::new("version", version)],
            Self::StoreUnavailable { call, error } => {
                vec![Value::new("call", call), Value::new("error", error)]
            }
            Self::OutcomeUnknown { service, call } => {
                vec![Value::new("service", service), Value::new("call", call)]
            }
            Self::CrashSuspected {
                upstream,
                fingerprint,
            } => vec![
                Value::new("upstream", upstream),
                Value::new("fingerprint", fingerprint),
            ],
            Self::QueueFull { task } => vec![Value::new("task", task)],
        }
    }
}

impl fmt::Display for Event<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let code = self.code();
        write!(f, "{code} {}", code.entry().map_or("", |entry| entry.title))?;
        for value in self.fields() {
            write!(f, " {value}")?;
        }
        Ok(())
    }
}
