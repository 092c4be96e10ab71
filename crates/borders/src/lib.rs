//! Interfaces to the platform and the upstreams.
//!
//! Each interface is a trait with one network client as its implementation; tests substitute
//! small fakes.

pub mod engine;
pub mod http;
pub mod instance_list;
pub mod relay;
pub mod service;
pub mod store;

pub use engine::{Engine, EngineError, GenerateRequest, Generation, GenerationEvent, OrderError};
pub use instance_list::{InstanceList, InstanceListError};
pub use service::{Service, ServiceError, ServiceReply};
pub use store::{CasOutcome, CreateOutcome, KeyValueStore, StoreError, Stored};
