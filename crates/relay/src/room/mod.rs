//! Places at the servers of plain services under contention.
//!
//! An instance sends calls directly until an answer shows that a server is full. For some seconds it then asks
//! the keeper of a pool of the service's servers before each call. A keeper that doesn't answer is skipped, and
//! calls are sent directly.

mod ask;
mod keep;
mod place;
mod rooms;

pub use ask::{PlaceAsk, Placed};
pub use place::Place;
pub use rooms::Rooms;
