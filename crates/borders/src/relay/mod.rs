//! Interfaces of an instance that relays requests on a platform.
//!
//! The platform's names, paths and formats are known only to the implementations of these traits.

mod dialect;
mod engine_control;
mod fleet_store;

pub use dialect::{
    AnnouncedRate, AnswerHead, AnswerId, AnsweredBy, Backoff, BadCallHead, CallerMark, Dialect,
    IdentityPath, IdentityRequest, ServerLoad, UpstreamAnnouncement, UpstreamHead,
};
pub use engine_control::{EngineControl, EngineReply};
pub use fleet_store::{
    ClaimOutcome, ClaimWrite, FleetChange, FleetChanges, FleetMember, FleetStore, FleetStoreError,
    HolderRecord, LeaseId, RevisedChange,
};
