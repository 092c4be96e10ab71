//! Which server of a plain service gets a call.
