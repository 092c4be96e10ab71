//! Grants, queues, loads and evictions of owned upstreams.
