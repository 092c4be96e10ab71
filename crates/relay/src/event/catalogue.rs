//! Catalogue of log events, from which the docs are generated.

use std::fmt::Write;

use log::Level;

/// A kind of log event.
#[derive(Debug)]
pub struct EventKind {
    /// Unique number, logged as `MR` and the number.
    pub number: u16,
    /// Level at which the event is logged.
    pub level: Level,
    /// Title of the event in the log.
    pub title: &'static str,
    /// What the event means, and what operators should do about it.
    pub meaning: &'static str,
}

macro_rules! kinds {
    ($($name:ident = $number:literal $level:ident $title:literal $meaning:literal;)*) => {
        /// All kinds of log events.
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

        /// All kinds of log events, ordered by number.
        pub static CATALOGUE: &[&EventKind] = &[$(&kind::$name),*];
    };
}

kinds! {
    STARTED = 1001 Info "instance started" "The listeners are open.";
    STOP_BEGUN = 1002 Info "planned stop begun" "Readiness fails; requests in flight are finished.";
    STOPPED = 1003 Info "instance stopped" "The planned stop has ended.";
    SETTINGS_READ = 1004 Info "settings read again" "The settings file was read again; `changed` tells whether it differs from the settings in force, which only a restart replaces.";
    SETTINGS_INVALID = 1005 Error "settings invalid" "The changed settings can't be used; the previous ones stay in force. Correct the file.";
    MACHINE_LIMITS = 1009 Info "machine limits" "What the process may hold for others, from the memory and the descriptors of its machine: `body_bytes` of request bodies, connections of `callers` and of `peers`, and `unread` answers.";
    BODY_REFUSED = 1010 Warn "body refused" "The memory for request bodies is in use by others; the request was refused without being run. At most one such line a second; `left_out` counts the others.";
    BODY_YIELDED = 1011 Warn "body yielded" "The body that held most memory for longest was given up for others before it was complete; its request was refused without being run. At most one such line a second.";
    BODY_STALLED = 1012 Warn "body stalled" "A body arrived too slowly (`callers.body_bytes_per_s`); its request was refused without being run. At most one such line a second.";
    CONNECTION_CLOSED = 1013 Warn "connection closed" "Connections ran short: the one that was idle for longest was closed (`closed_idle`), or a new one at once (`refused`); or a client took nothing of its answer (`closed_unread`). At most one such line a second.";
    ACCEPT_FAILED = 1014 Warn "accept failed" "A connection could not be accepted, usually because descriptors ran out; the listener tries again. At most one such line a second.";
    STORE_LOST = 1101 Warn "store lost" "The platform's store doesn't answer; the last known state stays in use. Check the store if this lasts.";
    STORE_RECOVERED = 1102 Info "store back" "The store answers again. Entries that are missing now may come back for `entries_back_in_ms`: 0 if the outage was too short for entries to expire, or only a watch was cut.";
    HISTORY_COMPACTED = 1103 Warn "history compacted" "The store compacted changes that were not read yet; the full state is read again.";
    ENTRY_INVALID = 1104 Warn "entry invalid" "An entry of the store is not used, as `problem` tells; the others hold. Logged once until the problem changes, or all entries are read and this one isn't among them. Correct or remove it, or ask who wrote it.";
    FEED_SOURCE = 1105 Info "feed source" "From now on this instance receives changes from `source`: another instance of its zone, or the store itself.";
    FEED_LOST = 1106 Warn "feed lost" "The feed source is unresponsive, or doesn't read the store itself now; another one is chosen.";
    STATE_READ = 1107 Info "state read" "The full state of the store was read in place of the changes since the revision `after`, which were too old or too many to arrive in time.";
    CONFIG_UNCONFIRMED = 1108 Warn "configuration unconfirmed" "Neither the store nor a feed source has confirmed for `confirmed_ms_ago` that the configuration is the newest, so a key that it holds may have been taken away: requests with keys get 503 until it is confirmed. Check this instance's way to the store.";
    CONFIG_CONFIRMED = 1109 Info "configuration confirmed" "The configuration is known to be recent; requests with keys are served again.";
    STORE_RESTORED = 1110 Warn "store restored" "The store came back from an older copy (`era` counts that, `former` is the count before): what was written since is gone until it is written again. Revisions in the log are the era times 2^40 plus the revision of the store, so that they never go back.";
    CONFIG_IN_FORCE = 1201 Info "configuration in force" "A newer configuration applies to requests from now on.";
    UPSTREAM_LISTED = 1202 Info "upstream listed" "An upstream was added, changed its stage, or restarted.";
    UPSTREAM_REMOVED = 1203 Info "upstream gone" "An upstream is no longer listed and gets no more requests.";
    VERSION_NAMED = 1204 Info "version named" "A newer version of an adapter was announced; its copies are replaced from now on. `previous` is the version that was the newest before (0 if none was named). No request begins on an older one from `required_in_ms` on, whatever is named until then.";
    UPSTREAM_ANNOUNCED = 1206 Info "upstream announcement" "An upstream announced in an answer that it is leaving (`leaving`), or for how long this instance should back off (`later`; `unreadable` if the time is malformed), or how many requests it accepts from all instances (`limit`, with `per_s`; `limit ended`; `unreadable limit` leaves the last one in force); `forgotten` if it restarted since. `source` is the kind of answer (`answer`, `order`, `report`, or `check` for one that asked whether the upstream runs on), or the instance that reported it.";
    ANNOUNCEMENT_UNKNOWN = 1207 Warn "unknown announcement" "An upstream announces something in a header of its answers that this build doesn't know and ignores; logged once for each `header`. Look it up in the platform's documentation: the upstream may expect instances to act on it.";
    LEASE_OPENED = 1301 Info "lease opened" "This instance may hold engines.";
    LEASE_LOST = 1302 Warn "lease lost" "The store ended the lease; this instance gives no orders until it holds engines again.";
    ENGINE_HELD = 1303 Info "engine held" "This instance gives the engine's orders from now on.";
    ENGINE_RELEASED = 1304 Info "engine released" "This instance gives the engine no more orders.";
    CLAIM_FAILED = 1305 Info "claim failed" "Another instance claimed the engine first, or the store didn't answer; the claim is retried.";
    ORDERS_PAUSED = 1306 Warn "orders paused" "The store has not confirmed this instance's lease recently, so it gives no orders.";
    ENGINE_UNHELD = 1307 Warn "engine unheld" "The name of the engine is too long for the key of its holder's record, so no instance holds it and it gets no orders; other engines are held as usual. Register the engine under a shorter name.";
    ORDER_ANSWERED = 1401 Info "order answered" "An engine answered an order in a way that changed its known state, or did not carry the order out.";
    REPORT_READ = 1402 Info "report read" "An engine's report of what it holds was read.";
    REPORT_FAILED = 1403 Warn "report failed" "An engine's report can't be read; the read is retried.";
    ENGINE_SPEED = 1405 Info "engine speed changed" "The estimated speed of an engine changed: its work takes `percent` of the usual time, `before` that `before`. `read_ns` is its time for a prompt token and `event_us` the time between two events of a stream, each beside the usual one, the median over engines (0 where there is too little to go by); `age_ms` is the age of the newest sample.";
    PEER_LOST = 1501 Warn "instance unreachable" "Another instance doesn't answer; its engines are used without its grants.";
    PEER_CONNECTED = 1502 Info "instance connected" "A connection to another instance was established.";
    CALL_ENDED = 2001 Info "call ended" "A request ended; `outcome` tells how, `framing` what marks the end of the answer (`length`, `chunks` or the end of its `connection`), and `ended` where the bytes of a stream of events ended (`before first event`, `between events`, `inside event`). If a connection closed where an answer may end, `checked` is what its upstream showed then (`answered`, `another process`, `connection refused`, `no answer`; `request unread` if the connection was reset after its end, or the request was not sent in full); only `answered` by the same process confirms the end. `adapter` is what the request ran on, and `expected_version` the version that the engine had to have (0: any). If the upstream broke off, `parts` are the parts of the prompt that other requests may have in common.";
    ATTEMPT_FAILED = 2002 Info "attempt failed" "An upstream failed a request, or reported that it did not run it.";
    COPY_REQUEST_FAILED = 2003 Info "ask failed" "The holder of an engine did not grant a copy; the next engine is tried.";
    CALL_REFUSED = 2004 Info "call refused" "A request was refused without being run.";
    CLIENT_LEFT = 2005 Info "client left" "A client disconnected before its answer was complete.";
    UPSTREAM_CRASHED = 2006 Warn "upstream crashed under request" "An upstream crashed while it ran a request (`suspect=request`) or began to answer a prompt with a part (`suspect=part`, whose id is the `fingerprint`); `source` tells how that was detected: it refuses connections, it is listed as restarted or no longer listed, or another instance reported it. `counted` crashes count against it. Of many suspects only the strongest are logged; `of` is their number.";
    REQUEST_QUARANTINED = 2007 Error "request quarantined" "Three upstreams crashed under the request or the prompt part, so its copies, or all requests with the part, are refused. Inspect the requests; release it if it is innocent.";
    REQUEST_CLEARED = 2008 Info "request cleared" "The evidence against the request or prompt part was dropped: a copy of it, or a request with the part, was served, or an operator released it.";
    LIMIT_REACHED = 2009 Info "limit reached" "An upstream accepts `per_s` requests per second from all instances. The request waited for its turn (`granted`, `waited_ms`), or went on to another upstream because the turn came too late (`denied`), the instance that issues the permits didn't answer (`no answer`), or the upstream left while the request waited (`upstream gone`).";
    CALLER_REFUSED = 2010 Info "caller refused" "A request was refused without being run because of its key, which is `present`, `absent` or `malformed` (several, or unreadable). `reason` is `unknown_key` (401: no workspace holds it), `unconfirmed` (503: a newer configuration than `version` may say otherwise, as this one was last confirmed `confirmed_ms_ago`) or `changed` (503: a newer configuration treats the caller in another way than the one at the request's arrival).";
    QUOTA_REACHED = 2015 Warn "quota reached" "Requests of a workspace are refused with 429, as its quota is used up on all instances together. Logged once until it has credit again; `free_in_ms` tells when that is, `per_s` and `burst` are the quota.";
    QUOTA_FREE = 2016 Info "quota free again" "A workspace that had reached its quota has had no request refused for two seconds; `refused` were since it was reached.";
    QUOTA_ISSUER_SILENT = 2017 Warn "quota issuer silent" "The instance that issues a workspace's credit doesn't answer, or isn't confirmed by the store. This instance asks the backup issuer of its zone, which issues a small share only. Logged once until the issuer answers again; MR1501 tells whether the instance is unreachable.";
    POOL_KEPT = 2020 Info "pool kept" "This instance is asked for places at the `servers` of a pool of a contended service, and queues the requests that find none.";
    SERVICE_CONTENDED = 2021 Info "service contended" "A server of a plain service was full (`calls` of its `places`). For some seconds this instance asks the keepers of the service's pools for a place before each call.";
    POOL_STATE = 2022 Info "pool state" "Each second, a pool that this instance keeps: `waiting` requests, requests `per_s`, and for each of the `servers` the calls with a place, those without one, the limit, and the mean time of a call in milliseconds (`6+0.0/8:30`).";
    KEEPER_SILENT = 2023 Warn "keeper silent" "The keeper of a pool didn't answer a request for a place in time (`no answer`), or its answer to one that waits is `overdue`; the call is sent without one. A keeper that gave no answer isn't asked for a second.";
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
