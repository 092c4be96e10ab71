//! Domain types, codecs and messages of monsoonspread.
//!
//! Defines the types that all other crates share: names, adapter versions, fencing numbers,
//! bundles, refusals and the messages between entry instances.

pub mod adapter_ref;
pub mod bundle;
pub mod copy_name;
pub mod epoch;
pub mod fingerprint;
pub mod fleet;
pub mod listed_instance;
pub mod load_report;
pub mod message;
pub mod name;
pub mod ownership_table;
pub mod refusal;
pub mod request_class;
pub mod toml_check;
pub mod unix_ms;

pub use adapter_ref::{AdapterRef, ModelSelector};
pub use bundle::{Bundle, BundleVersion};
pub use copy_name::CopyName;
pub use epoch::Epoch;
pub use fingerprint::Fingerprint;
pub use listed_instance::{InstanceKind, InstanceState, ListedInstance};
pub use load_report::LoadReport;
pub use message::MeshMessage;
pub use name::{
    AdapterName, BaseModelName, CallerName, InstanceName, ServiceName, UpstreamName, WorkspaceName,
    ZoneName,
};
pub use ownership_table::{OwnershipTable, Succession};
pub use refusal::{Refusal, RefusalReason};
pub use request_class::RequestClass;
pub use unix_ms::UnixMs;
