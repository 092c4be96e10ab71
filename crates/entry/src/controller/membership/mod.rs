//! Members of the zone: the task that runs failure detection.

mod command;
mod controller;
mod view;

pub use command::MembershipCommand;
pub use controller::MembershipController;
pub use view::MembersView;
