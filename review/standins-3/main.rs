//! Stand-ins and scripts of the cases in `review/11` to `review/15`: `standins CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
mod case_backoff;
mod case_config;
mod case_holder;
mod case_stop;
mod case_stopped;
mod engine;
mod entry_lease;
mod entry_revoke;
mod http;
mod json;
mod plain;
mod record;
mod relay;
mod store;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let path = std::env::args()
        .nth(2)
        .unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let name = folder.to_str().expect("a path").to_owned();
    let record = record::Record::new();
    record.add(format!(
        "{case}, {}",
        if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let code = match case.as_str() {
        "holder" => case_holder::run(&name, &record, trouble),
        "stopped" => case_stopped::run(&name, &record, trouble),
        "backoff" => case_backoff::run(&name, &record, trouble),
        "config" => case_config::run(&name, &record, trouble),
        "stop" => case_stop::run(&name, &record, trouble),
        // Entries of KNOWN-RED.txt that are no cases.
        "lease" => entry_lease::run(&name, &record, trouble),
        "revoke" => entry_revoke::run(&name, &record, trouble),
        _ => 2,
    };
    record.add(format!("exit {code}"));
    record.write(&path);
    let _ = std::fs::remove_dir_all(&folder);
    std::process::exit(code);
}
