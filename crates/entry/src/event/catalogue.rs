//! The catalogue of events, from which `docs/LOG-EVENTS.md` is written.

use std::fmt::Write;

use log::Level;

use super::EventCode;

/// One kind of event.
#[derive(Clone, Copy, Debug)]
pub struct CatalogueEntry {
    /// Its number.
    pub code: EventCode,
    /// Its level in the log.
    pub level: Level,
    /// Its words in the log.
    pub title: &'static str,
    /// What it means.
    pub meaning: &'static str,
    /// What an operator does about it.
    pub action: &'static str,
}

const NOTHING: &str = "Nothing.";

/// Every event, by number.
pub const CATALOGUE: &[CatalogueEntry] = &[
    entry(
        1001,
        Level::Info,
        "instance started",
        "The listeners are open.",
        NOTHING,
    ),
    entry(
        1002,
        Level::Info,
        "planned stop begun",
        "Readiness fails, ownership is handed over, requests in flight are finished.",
        NOTHING,
    ),
    entry(
        1003,
        Level::Info,
        "instance stopped",
        "The planned stop has ended.",
        NOTHING,
    ),
    entry(
        1004,
        Level::Warn,
        "queue full",
        "A task was too slow and a message to it was dropped; its sender tries again.",
        "If it lasts, give the instance more processor time or add instances.",
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
        "A connection to another instance could not be opened; its requests go elsewhere.",
        NOTHING,
    ),
    entry(
        1202,
        Level::Warn,
        "peer rejected",
        "A connection failed its handshake: another key, another version, or not an instance.",
        "If the address is an instance, compare `mesh.key_file` and the builds.",
    ),
    entry(
        1203,
        Level::Info,
        "member changed",
        "A member of the zone changed its health.",
        NOTHING,
    ),
    entry(
        1204,
        Level::Debug,
        "membership notice",
        "Failure detection reports a step.",
        NOTHING,
    ),
    entry(
        1301,
        Level::Debug,
        "bad request",
        "A request was refused as it was wrong; nothing ran.",
        "Tell the caller if it lasts.",
    ),
    entry(
        1302,
        Level::Error,
        "wrong adapter",
        "An engine's answer named another copy than the granted one; the caller got an error.",
        "Take the engine out of service and look into it.",
    ),
    entry(
        1303,
        Level::Warn,
        "stream broken",
        "An engine's stream ended before the answer was whole; the caller got an error event.",
        "If one engine stands out, look into it.",
    ),
    entry(
        1304,
        Level::Debug,
        "dispatch notice",
        "A request was retried, hedged or resumed, or is refused as it crashes upstreams.",
        NOTHING,
    ),
    entry(
        1401,
        Level::Warn,
        "instance list unavailable",
        "The last known list stays in use.",
        "Look into the platform's instance list.",
    ),
    entry(
        1402,
        Level::Info,
        "instance list available",
        "The list is read again.",
        NOTHING,
    ),
    entry(
        1501,
        Level::Info,
        "ownership taken",
        "This instance decides for the upstream.",
        NOTHING,
    ),
    entry(
        1502,
        Level::Info,
        "ownership ended",
        "Another instance decides for the upstream from now on.",
        NOTHING,
    ),
    entry(
        1503,
        Level::Info,
        "ownership notice",
        "The ownership table reports a step.",
        NOTHING,
    ),
    entry(
        1601,
        Level::Warn,
        "order failed",
        "An engine did not carry out an order; it is tried again after a while, or elsewhere.",
        "If one engine stands out, look into it.",
    ),
    entry(
        1602,
        Level::Debug,
        "owner notice",
        "An owner's decisions report a step.",
        NOTHING,
    ),
    entry(
        1701,
        Level::Info,
        "bundle in force",
        "Requests are resolved by this version.",
        NOTHING,
    ),
    entry(
        1702,
        Level::Info,
        "bundle notice",
        "The spread of bundles reports a step.",
        NOTHING,
    ),
    entry(
        1801,
        Level::Warn,
        "key-value service unavailable",
        "A call failed; keyed calls are refused meanwhile, everything else goes on.",
        "Look into the platform's key-value service.",
    ),
    entry(
        1802,
        Level::Error,
        "outcome unknown",
        "A call that may not repeat was sent and its answer was lost; it is not sent again.",
        "Look up in the service's own records whether it ran.",
    ),
    entry(
        1901,
        Level::Warn,
        "crash suspected",
        "An upstream broke while it ran this request; after the second time it is refused.",
        "Ask the caller for the request if its fingerprint comes back.",
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

/// Writes the catalogue as the page `docs/LOG-EVENTS.md`.
///
/// ```
/// # use monsoonspread_entry::event::catalogue_markdown;
/// assert!(catalogue_markdown().contains("| MS1001 |"));
/// ```
pub fn catalogue_markdown() -> String {
    let mut page = String::from(
        "# Log events\n\n\
         Every line that an entry instance logs begins with an event's number, followed by its\n\
         words and `key=value` fields. Levels are set by `RUST_LOG`; there is no event at level\n\
         info for each request.\n\n\
         | event | level | words | meaning | what to do |\n\
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
