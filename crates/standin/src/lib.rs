//! Stand-ins for the platform and the upstreams, with faults switched at run time.
//!
//! Each stand-in starts in-process on a loopback port and is driven through its [`Running`]
//! handle, or from outside through the control listener of the binary.

pub mod cli;
pub mod control;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod instances;
pub mod marker;
pub mod pace;
pub mod run;
pub mod server;
pub mod service;
pub mod store;
pub mod weights;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub use engine::{Engine, EngineSettings};
pub use fault::{Fault, FaultState};
pub use fleet::{Fleet, Plan};
pub use instances::{Instances, InstancesSettings};
pub use server::{Running, StandIn};
pub use service::{Service, ServiceSettings};
pub use store::{Store, StoreSettings};
pub use weights::{Weights, WeightsSettings};

/// A loopback address whose port the system chooses.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
