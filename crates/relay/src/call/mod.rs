//! The life of a request, from its head to the end of its answer.

mod admission;
mod answer;
mod attempt;
mod body;
mod body_kind;
mod caller;
mod candidates;
mod charge;
mod client_body;
mod forward;
mod handler;
mod headers;
mod model_call;
mod refusal;
mod request;
mod resume;
mod runs;
mod service_call;
mod stopping;
mod suspect;
mod upstream_answer;

pub use answer::Grant;
pub use body::RelayBody;
pub use client_body::refuse_head;
pub use handler::handle;
