//! Grants, queues, loads and evictions of owned upstreams.
//!
//! [`OwnerSet`] holds every upstream that one entry instance owns. Instances request
//! grants from it. It keeps exact counts of adapter slots, pins and batch places, queues requests
//! that have to wait, and selects the next adapter to load within the instance's share of the
//! weight store.
//!
//! # Grants
//!
//! A grant occupies a batch place and pins the copy that it names. Its return releases both.
//! An expired grant releases its place and keeps its pin until a later report shows the copy
//! unused. The same holds for a grant whose holder was removed, since that holder may only be
//! paused. Duplicates of a request get the same answer. The outcome of a request is remembered
//! until the request can't be sent again, so that a request that ran is never answered "not
//! run".
//!
//! # Queues
//!
//! Some places of a batch are reserved for short requests. Long requests may hold only a share of
//! the places, which grows while nothing else waits, and may by themselves pin only a share of
//! the slots, because a pinned slot can't be reused. Within a class, requests are ordered by
//! priority, then by the tokens served to their caller, then by whether the batch already runs
//! their adapter, then by deadline. A request that can't start in time is refused immediately
//! with a retry time. A full queue sheds the lowest priority, then the caller with the most
//! waiting requests.
//!
//! # Loads
//!
//! The next load is the one with the highest weight over all owned upstreams: the weight of the
//! waiting requests plus the requests expected from the adapter's decayed arrival rate. It may
//! evict the copy with the lowest retention value if that value is below the load's weight, but
//! never a pinned copy or one with waiting requests. The budget is a token bucket. A set without
//! tokens requests unused ones from a peer; borrowed tokens expire. A failed load refuses its
//! waiting requests immediately, and the adapter backs off on that upstream.
//!
//! # Succession
//!
//! After a takeover nothing is loaded before a report shows the slots, older copies are used
//! only when no former owner can unload them, and evicted only when every grant on them is
//! accounted for. An owner steps down when an order is refused for its fencing number, when a
//! report shows a newer owner's copy, or when a newer owner requests the grants held here; it
//! then announces its grants only after its last unload was answered. An owner that was paused
//! grants nothing until another order is accepted, or a later report shows no newer copy.
//!
//! On upstreams that check fencing numbers these rules hold under any pause or partition. On
//! upstreams that don't, a former owner that never learns of its successor can still unload
//! copies of its own epoch, so those are used only after every holder has announced its grants.
//! One risk remains there: an unload that runs after its answer was considered lost and after
//! the copy was loaded again under the same name. A backoff makes this unlikely. On any
//! upstream, a holder that was paused, removed and then resumed may start a request on an older
//! epoch's copy that is being unloaded; the upstream then answers that the copy is missing.

mod action;
mod benchmark_driver;
mod confirmation;
mod copies;
mod dump;
mod endings;
mod event;
mod exit;
mod expected_wait;
mod grants;
mod load_budget;
mod load_failures;
mod load_plan;
mod load_waits;
mod order_failure;
mod outstanding_grant;
mod owned_estimates;
mod owned_grants;
mod owned_loads;
mod owned_orders;
mod owned_reports;
mod owned_succession;
mod owned_upstream;
mod ownership_origin;
mod place_shares;
mod reconciliation;
mod request_key;
mod set;
mod set_budget;
mod set_orders;
mod set_succession;
mod settings;
mod speed;
mod tracked_copy;
mod upstream_shape;
mod wait_queue;
mod waiting_request;

#[cfg(test)]
mod tests;

pub use action::OwnerAction;
pub use benchmark_driver::BenchmarkDriver;
pub use dump::{CopyDump, OwnedUpstreamDump, OwnerDump};
pub use event::OwnerEvent;
pub use load_waits::LoadWaits;
pub use order_failure::OrderFailure;
pub use ownership_origin::OwnershipOrigin;
pub use set::OwnerSet;
pub use settings::OwnerSettings;
pub use speed::Speed;
pub use upstream_shape::UpstreamShape;
