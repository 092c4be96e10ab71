//! Catalogue of log events; `docs/LOG-EVENTS.md` is generated from it.

use std::fmt::Write;

use log::Level;

use super::EventCode;

/// Description of one kind of event.
#[derive(Clone, Copy, Debug)]
pub struct CatalogueEntry {
    /// Event number.
    pub code: EventCode,
    /// Log level.
    pub level: Level,
    /// Text that follows the number in the log line.
    pub title: &'static str,
    /// Explanation for operators.
    pub meaning: &'static str,
    /// Recommended reaction of an operator.
    pub action: &'static str,
}

const NOTHING: &str = "Nothing.";

/// All events in ascending order of their numbers.
pub const CATALOGUE: &[CatalogueEntry] = &[
    entry(
        1001,
        Level::Info,
        "instance started",
        "All listeners are open.",
        NOTHING,
    ),
    entry(
        1002,
        Level::Info,
        "planned stop begun",
        "Readiness checks fail, ownership is handed over and requests in flight complete.",
        NOTHING,
    ),
    entry(
        1003,
        Level::Info,
        "instance stopped",
        "The planned stop is complete.",
        NOTHING,
    ),
    entry(
        1004,
        Level::Warn,
        "queue full",
        "The queue of a task was full, so a message was dropped; the sender retries.",
        "If it persists, give the instance more CPU time or add instances.",
    ),
    entry(
        1005,
        Level::Warn,
        "metrics unavailable",
        "Metrics can't be sent to the statsd address.",
        "Check `metrics.statsd` in the settings.",
    ),
    entry(
        1201,
        Level::Debug,
        "peer unreachable",
        "A connection to another instance could not be opened; requests use other instances.",
        NOTHING,
    ),
    entry(
        1202,
        Level::Warn,
        "peer rejected",
        "A handshake failed: different key, different protocol version, or not an instance.",
        "If the address belongs to an instance, compare `mesh.key_file` and the versions.",
    ),
    entry(
        1203,
        Level::Info,
        "member changed",
        "The health of a member of the zone changed.",
        NOTHING,
    ),
    entry(
        1204,
        Level::Debug,
        "membership notice",
        "State change in failure detection.",
        NOTHING,
    ),
    entry(
        1301,
        Level::Debug,
        "bad request",
        "An invalid request was refused before execution.",
        "If it persists, notify the caller.",
    ),
    entry(
        1302,
        Level::Error,
        "wrong adapter",
        "An engine's response named a copy other than the granted one; the caller got an error.",
        "Take the engine out of service and investigate.",
    ),
    entry(
        1303,
        Level::Warn,
        "stream broken",
        "An engine's stream ended before the response was complete; the caller got an error event.",
        "If it is mostly one engine, investigate that engine.",
    ),
    entry(
        1304,
        Level::Debug,
        "dispatch notice",
        "A request was retried, hedged or resumed, or was refused because it crashes upstreams.",
        NOTHING,
    ),
    entry(
        1401,
        Level::Warn,
        "instance list unavailable",
        "The instance list cannot be read; the last known list stays in use.",
        "Check the platform's instance list service.",
    ),
    entry(
        1402,
        Level::Info,
        "instance list available",
        "The instance list can be read again.",
        NOTHING,
    ),
    entry(
        1403,
        Level::Warn,
        "instance row invalid",
        "A row of the instance list cannot be read and is not used; the others are. Logged once while the row is listed so.",
        "Correct the row, or remove it.",
    ),
    entry(
        1501,
        Level::Info,
        "ownership taken",
        "This instance became the owner of the upstream.",
        NOTHING,
    ),
    entry(
        1502,
        Level::Info,
        "ownership ended",
        "This instance is no longer the owner of the upstream.",
        NOTHING,
    ),
    entry(
        1503,
        Level::Info,
        "ownership notice",
        "State change in the ownership table.",
        NOTHING,
    ),
    entry(
        1601,
        Level::Warn,
        "order failed",
        "An engine did not execute an order; it is retried later or on another engine.",
        "If it is mostly one engine, investigate that engine.",
    ),
    entry(
        1602,
        Level::Debug,
        "owner notice",
        "State change in an owner.",
        NOTHING,
    ),
    entry(
        1701,
        Level::Info,
        "bundle in force",
        "New requests are resolved against this version.",
        NOTHING,
    ),
    entry(
        1702,
        Level::Info,
        "bundle notice",
        "State change in bundle distribution.",
        NOTHING,
    ),
    entry(
        1801,
        Level::Warn,
        "key-value service unavailable",
        "A call failed; keyed calls are refused until it recovers, other requests are unaffected.",
        "Check the platform's key-value service.",
    ),
    entry(
        1802,
        Level::Error,
        "outcome unknown",
        "The response to a call that must not be repeated was lost; the call is not retried.",
        "Check the service's records to find out whether the call ran.",
    ),
    entry(
        1901,
        Level::Warn,
        "crash suspected",
        "An upstream failed while running this request; after a second failure it is refused.",
        "If the fingerprint recurs, ask the caller for the request.",
    ),
];

const fn entry(
    code: u16,
    level: Level,
    title: &'static str,
    meaning: &'static str,
    action: &'static str,
) -> CatalogueEntry {
    CatalogueEntry {
        code: EventCode(code),
        level,
        title,
        meaning,
        action,
    }
}

/// Renders the catalogue as Markdown, the content of `docs/LOG-EVENTS.md`.
///
/// ```
/// # use monsoonspread_entry::event::catalogue_markdown;
/// assert!(catalogue_markdown().contains("| MS1001 |"));
/// ```
pub fn catalogue_markdown() -> String {
    let mut page = String::from(
        "# Log events\n\n\
         Every line that an entry instance logs starts with the event number, followed by the\n\
         title and `key=value` fields. `RUST_LOG` sets the level; no event at level info is\n\
         logged per request.\n\n\
         | event | level | title | meaning | action |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for entry in CATALOGUE {
        let level = entry.level.as_str().to_lowercase();
        let _ = writeln!(
            page,
            "| {} | {level} | {} | {} | {} |",
            entry.code, entry.title, entry.meaning, entry.action
        );
    }
    page
}
