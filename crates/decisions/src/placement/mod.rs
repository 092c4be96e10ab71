//! Which upstreams may serve an adapter.
