//! Which upstreams are slow now.
