//! Borders to the platform and the upstreams: traits and their network clients.
