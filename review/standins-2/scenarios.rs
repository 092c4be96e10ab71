//! The scenarios: each returns how the rule was broken, or why it could not run.

mod oddkey;
mod one;
mod ready;
mod watchcut;
mod waves;

pub type Outcome = Result<Vec<String>, String>;

/// Runs a scenario. `trouble` is "0" for no disruption, or the name of one of several, alone.
pub fn run(name: &str, trouble: &str) -> Outcome {
    let is_troubled = trouble != "0";
    match name {
        "oddkey" => oddkey::run(is_troubled),
        "one" => one::run(trouble),
        "ready" => ready::run(is_troubled),
        "watchcut" => watchcut::run(is_troubled),
        "waves" => waves::run(trouble),
        other => Err(format!("there is no scenario \"{other}\"")),
    }
}

pub const HOST: &str = "shop.example";

/// A configuration with an engine service and a plain one, and the routes of both.
pub fn config(version: u64, more_routes: &str) -> String {
    use crate::engine::{ADAPTER_PLACES, MODEL};
    let route = |name: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u32, aim_ms: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{aim_ms},\"priority\":0,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"resumable\":{}}}",
            kind == "streaming" && attempts > 1
        )
    };
    let routes = [
        route("chat", "streaming", "engines", 1, 8_000, 1_000),
        route("sheet", "streaming", "engines", 2, 8_000, 1_000),
        route("commit", "unsafe", "records", 1, 1_500, 100),
        route("read", "safe", "records", 2, 1_500, 100),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}{more_routes}],\
         \"services\":[{{\"name\":\"engines\",\"health_path\":\"/health\",\"max_connections\":620,\
         \"engine\":{{\"slots\":32,\"kv_capacity\":100000,\"size_mb\":17000,\"adapter_slots\":{ADAPTER_PLACES},\
         \"models\":[{{\"name\":\"{MODEL}\",\"size_mb\":16000,\"load_time_s\":0.6,\"adapters\":3000,\
         \"adapter_size_mb\":14}}]}}}},\
         {{\"name\":\"records\",\"health_path\":\"/health\",\"max_connections\":100}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}
