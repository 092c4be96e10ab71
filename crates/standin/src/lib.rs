//! Stand-ins for the platform and the upstreams, with faults switched at run time.
