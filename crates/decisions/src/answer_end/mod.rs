//! How an upstream's answer marks its end.

mod framing;

pub use framing::Framing;
