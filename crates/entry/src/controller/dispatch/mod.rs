//! Model requests in flight: the task that runs the dispatcher's state machine.

mod actions;
mod answer;
mod command;
mod controller;
mod generation;
mod handle;
mod owner_map;
mod request_record;

pub use answer::{Answer, AnswerEvent};
pub use command::{DispatchCommand, Submission};
pub use controller::DispatchController;
pub use handle::DispatchHandle;
pub use owner_map::OwnerMap;
