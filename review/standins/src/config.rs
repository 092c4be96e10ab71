//! The operator's configuration of the small deployment.

use crate::fleet::{HOST, MODEL};

/// A route as `op/config` has it.
pub fn route(
    path: &str,
    kind: &str,
    service: &str,
    attempts: u32,
    resumable: bool,
    timeout_ms: u64,
) -> String {
    format!(
        "{{\"name\":\"r-{path}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{path}/\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":1000,\"priority\":0,\"service\":\"{service}\",\
         \"max_attempts\":{attempts},\"sticky\":true,\"resumable\":{resumable},\"gap_target_ms\":400}}"
    )
}

/// The configuration with `routes`, the model servers `engine` and the plain service `app`.
pub fn config(version: u64, routes: &[String]) -> String {
    let routes = routes.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"engine\",\
         \"health_path\":\"/health\",\"max_connections\":620,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":128,\"kv_capacity\":149252,\"models\":[{{\"name\":\"{MODEL}\",\
         \"size_mb\":16100.0,\"load_time_s\":0.6,\"adapters\":3000,\"adapter_size_mb\":14.0}}],\
         \"size_mb\":16700.0,\"adapter_slots\":18,\"loads_per_s\":9.2}}}},\
         {{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}}}"
    )
}
