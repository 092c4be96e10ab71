//! Collects what shows whether a process runs on.

use std::rc::Rc;
use std::time::Duration;

use monsoonspread_decisions::answer_end::ProcessEvidence;
use monsoonspread_model::UnixMs;
use tokio::sync::watch::Receiver;
use tokio::time::{sleep, timeout};

use super::EndQuestion;
use super::ask::{ask, is_refused};
use crate::shared::Shared;

/// Time in which an upstream answers a check, in milliseconds: a lost packet is sent again within it.
const CHECK_TIMEOUT_MS: u64 = 1_000;
/// Minimum time between the starts of two tries, in milliseconds.
const TRY_INTERVAL_MS: u64 = 50;

/// Returns what shows whether the process that answered a request ran on past the end of its answer, which
/// arrived just now.
pub async fn process_evidence(shared: Rc<Shared>, question: EndQuestion) -> ProcessEvidence {
    let Some(identity) = &question.identity else {
        return ProcessEvidence::NotAsked;
    };
    let upstream = &question.upstream;
    let ended_at = shared.now();
    // An answer that is ready is delivered, even if late.
    let latest = question.gives_up_at.max(ended_at + CHECK_TIMEOUT_MS);
    let checks = shared.end_checks.of(ended_at, upstream);
    let ended = checks.next_number();
    let mut changed = checks.subscribe();
    let mut fails_at: Option<UnixMs> = None;
    let mut is_probed = false;
    loop {
        if let Some(evidence) = checks.evidence_after(ended) {
            return evidence;
        }
        let now = shared.now();
        let gives_up_at = shared
            .stop_plan()
            .map_or(latest, |plan| plan.ends_at.min(latest));
        let ends_at = fails_at.unwrap_or(gives_up_at).min(gives_up_at);
        if now >= ends_at {
            return match fails_at {
                Some(_) => ProcessEvidence::NoAnswer,
                None => ProcessEvidence::NotAsked,
            };
        }
        if checks.is_under_way_after(ended) {
            fails_at.get_or_insert(now + CHECK_TIMEOUT_MS);
            until(&shared, ends_at, &mut changed).await;
            continue;
        }
        let backoff = shared.fleet.borrow().backoff(now, upstream);
        let next_at = checks.next_at(now, backoff, gives_up_at);
        if next_at <= now && (backoff.is_none() || !checks.is_under_way()) {
            let ends_at = *fails_at.get_or_insert(now + CHECK_TIMEOUT_MS);
            let check = checks.begin(now, backoff);
            let asked = ask(&shared, upstream, identity);
            let wait = Duration::from_millis(ends_at.min(gives_up_at).ms_since(now));
            if let Ok(Some(evidence)) = timeout(wait, asked).await {
                check.on_evidence(evidence);
                return evidence;
            }
            drop(check);
            let next_try = now + TRY_INTERVAL_MS;
            sleep(Duration::from_millis(next_try.ms_since(shared.now()))).await;
            continue;
        }
        // The end of the process shows without a request.
        if !is_probed {
            is_probed = true;
            if is_refused(upstream.address).await {
                return ProcessEvidence::ConnectionRefused;
            }
            continue;
        }
        let wakes_at = match next_at > now {
            true => next_at.min(ends_at),
            false => ends_at,
        };
        until(&shared, wakes_at, &mut changed).await;
    }
}

/// Waits until `at`, or until a check ends or a planned stop begins.
async fn until(shared: &Shared, at: UnixMs, changed: &mut Receiver<()>) {
    let wait = Duration::from_millis(at.ms_since(shared.now()));
    tokio::select! {
        () = sleep(wait) => {}
        // The sender lives as long as the checks of the process.
        _ = changed.changed() => {}
        _ = shared.stop_begun(), if !shared.is_stopping() => {}
    }
}
