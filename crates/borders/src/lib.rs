//! Borders to the platform and the upstreams.
//!
//! Each border is a trait with one network client behind it; tests put small fakes there.

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
