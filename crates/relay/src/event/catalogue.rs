//! The catalogue of events, from which the docs are written.

use std::fmt::Write;

use log::Level;

/// One kind of event.
#[derive(Debug)]
pub struct EventKind {
    /// Its number.
    pub number: u16,
    /// Its level.
    pub level: Level,
    /// Its words in the log.
    pub title: &'static str,
    /// What it means, and what an operator does about it.
    pub meaning: &'static str,
}

macro_rules! kinds {
    ($($name:ident = $number:literal $level:ident $title:literal $meaning:literal;)*) => {
        /// Every kind of event.
        pub mod kind {
            use super::{EventKind, Level};
            $(
                #[doc = $meaning]
                pub static $name: EventKind = EventKind {
                    number: $number,
                    level: Level::$level,
                    title: $title,
                    meaning: $meaning,
                };
            )*
        }

        /// Every kind of event, by number.
        pub static CATALOGUE: &[&EventKind] = &[$(&kind::$name),*];
    };
}

kinds! {
    STARTED = 1001 Info "instance started" "The listeners are open.";
    STOP_BEGUN = 1002 Info "planned stop begun" "Readiness fails; requests in flight are finished.";
    STOPPED = 1003 Info "instance stopped" "The planned stop has ended.";
    SETTINGS_READ = 1004 Info "settings read again" "The settings file was read again; `changed` tells whether it differs.";
    SETTINGS_INVALID = 1005 Error "settings wrong" "The changed settings can't be used; the former ones hold. Correct the file.";
    STORE_LOST = 1101 Warn "store lost" "The platform's store doesn't answer; what is known is used on. Check the store if it lasts.";
    STORE_RECOVERED = 1102 Info "store back" "The store answers again.";
    HISTORY_COMPACTED = 1103 Warn "history gone" "The store dropped changes that were not read; everything is read anew.";
    ENTRY_INVALID = 1104 Warn "entry unreadable" "An entry of the store was passed over.";
    FEED_SOURCE = 1105 Info "news source" "From now on this instance hears of changes from `source`: another instance of its zone, or the store itself.";
    FEED_LOST = 1106 Warn "news lost" "The source was silent, or doesn't follow the store now; another one is chosen.";
    CONFIG_IN_FORCE = 1201 Info "configuration in force" "A newer configuration decides on requests from now on.";
    UPSTREAM_LISTED = 1202 Info "upstream listed" "An upstream appeared, changed its stage, or started anew.";
    UPSTREAM_REMOVED = 1203 Info "upstream gone" "An upstream is no longer listed and gets no more requests.";
    VERSION_NAMED = 1204 Info "version named" "Requests for this adapter begin on this version from now on.";
    UPSTREAM_ANNOUNCED = 1206 Info "upstream said" "An upstream said in an answer that it leaves, or for how long it wants nothing from this instance; `unreadable` where that can't be read, `forgotten` where it started anew since. `source` is the kind of answer, or the instance that told.";
    LEASE_OPENED = 1301 Info "lease opened" "This instance may hold engines.";
    LEASE_LOST = 1302 Warn "lease lost" "The store ended the lease; this instance gives no more orders until it holds engines anew.";
    ENGINE_HELD = 1303 Info "engine held" "This instance gives the engine's orders from now on.";
    ENGINE_RELEASED = 1304 Info "engine held no more" "This instance gives the engine no more orders.";
    CLAIM_FAILED = 1305 Info "claim failed" "Another instance was faster, or the store didn't answer; it is tried again.";
    ORDERS_PAUSED = 1306 Warn "orders paused" "The store has not confirmed this instance lately, so it gives no orders.";
    ORDER_ANSWERED = 1401 Info "order answered" "An engine answered an order, and what is believed of the engine changed; or it did not carry it out.";
    REPORT_READ = 1402 Info "report read" "What an engine holds was read.";
    REPORT_FAILED = 1403 Warn "report failed" "An engine's report can't be read; it is tried again.";
    PEER_LOST = 1501 Warn "instance unreachable" "Another instance doesn't answer; its engines are used without asking it.";
    PEER_CONNECTED = 1502 Info "instance connected" "Another instance answers.";
    CALL_ENDED = 2001 Info "call ended" "A request was answered; `outcome` tells how.";
    ATTEMPT_FAILED = 2002 Info "attempt failed" "An upstream failed a request, or said that it did not run it.";
    COPY_REQUEST_FAILED = 2003 Info "ask failed" "The holder of an engine did not grant a copy; the next engine is asked.";
    CALL_REFUSED = 2004 Info "call refused" "A request was refused as not run.";
    CLIENT_LEFT = 2005 Info "client left" "A client left before its answer was complete.";
    UPSTREAM_CRASHED = 2006 Warn "upstream ended under request" "An upstream ended while it ran a request; `source` tells how that is known: it refuses connections, it is listed as started anew or no longer listed, or another instance told. `counted` ends are held against the request.";
    REQUEST_QUARANTINED = 2007 Error "request quarantined" "Three upstreams ended under the request, so that its copies are refused. Look at the request; release it if it is innocent.";
    REQUEST_CLEARED = 2008 Info "request cleared" "Nothing more is held against the request: a copy of it was served, or an operator released it.";
}

/// The catalogue as a Markdown table.
///
/// ```
/// # use monsoonspread_relay::event::catalogue_markdown;
/// assert!(catalogue_markdown().contains("| MR1001 |"));
/// ```
pub fn catalogue_markdown() -> String {
    let mut text =
        String::from("| number | level | event | meaning |\n| --- | --- | --- | --- |\n");
    for kind in CATALOGUE {
        let EventKind {
            number,
            level,
            title,
            meaning,
        } = kind;
        let _ = writeln!(text, "| MR{number} | {level} | {title} | {meaning} |");
    }
    text
}
