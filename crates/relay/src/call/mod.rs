//! One request, from its head to the end of its answer.

mod answer;
mod attempt;
mod body;
mod client_body;
mod handler;
mod headers;
mod model_call;
mod refusal;
mod request;
mod service_call;

pub use body::RelayBody;
pub use handler::handle;
