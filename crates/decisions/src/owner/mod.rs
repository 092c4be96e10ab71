//! Grants, queues, loads and evictions of owned upstreams.
//!
//! [`OwnerSet`] holds every upstream that one entry instance owns. Instances ask it for
//! grants; it counts adapter slots, pins and batch places exactly, queues what has to wait,
//! and decides which adapter is loaded next within the instance's share of the weight store.
//!
//! # Grants
//!
//! A grant holds a batch place and pins the copy that it names. Both end with its return.
//! A grant that expires gives its place back and keeps its pin until a report taken later
//! shows the copy unused; so does a grant whose holder is gone, since that holder may only be
//! paused. Duplicates of a request get the same answer. The end of a request is remembered
//! until it can't be sent again, so that "not run" is never said of one that ran.
//!
//! # Queues
//!
//! Some places of a batch are kept for short work, and long work holds at most a share, which
//! grows while nothing else waits. Long work alone also pins at most a share of the slots, as
//! a pinned slot can't be loaded anew. Within a class the highest priority goes first, then
//! the caller that was served least, then an adapter that the batch runs already, then the
//! earliest deadline. What can't start in time is refused at once with a time to come back; a
//! full queue sheds the lowest priority, and then the caller with most waiting.
//!
//! # Loads
//!
//! The next load is the one with the heaviest waiting work, plus the requests expected from
//! the adapter's decayed rate, over all owned upstreams. It may evict the copy whose loss
//! costs least if that costs less than the load is worth, but never a pinned copy nor one
//! with waiting work. The budget is a token bucket; a set that lacks tokens asks a peer for
//! unused ones, which end after a while. A failed load is told to its waiters at once, and
//! the adapter is backed off on that upstream.
//!
//! # Succession
//!
//! After a takeover nothing is loaded before a report shows the slots, older copies are used
//! only when no former owner can unload them, and evicted only when every grant on them is
//! accounted for. An owner steps down when an order is refused for its number, when a report
//! shows a newer owner's copy, or when a newer owner asks for grants; then it lets its last
//! unload be answered before its grants are announced. An owner that was paused gives no grant
//! before an order is accepted anew, or a later report shows no newer copy.
//!
//! On upstreams that check fencing numbers these rules hold whatever is paused or cut off. On
//! upstreams that don't, a former owner that never hears of its successor can still unload
//! copies of its own epoch, so those are used only after every holder has announced. What
//! remains there: an unload that is carried out after its answer was taken as lost and after
//! the copy was loaded again under the same name, which a backoff makes unlikely. And on any
//! upstream, a holder that was paused, was taken as gone and wakes may start a run on an older
//! epoch's copy that is being unloaded; the upstream then answers that it lacks the copy.

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
