//! Playing the requests of a phase in open loop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::client::{Attempt, Client};
use crate::plan::PlannedRequest;
use crate::policy::Policy;
use crate::record::{Ending, Outcome};

/// Targets that one request is sent to at most.
const MAX_TRIES: usize = 3;

/// Sends requests at their planned times, whatever became of earlier ones.
#[derive(Clone)]
pub struct Player {
    client: Client,
    policy: Arc<dyn Policy>,
    client_one_way: Duration,
}

impl Player {
    /// Sends through `policy`, from clients at a distance of `client_one_way`.
    pub fn new(policy: Arc<dyn Policy>, client_one_way: Duration) -> Self {
        Self {
            client: Client::new(),
            policy,
            client_one_way,
        }
    }

    /// Sends `requests`, which are in the order of their times; their ends come later.
    pub async fn send(&self, requests: &[PlannedRequest]) -> JoinSet<Outcome> {
        let start = Instant::now();
        let mut running = JoinSet::new();
        for request in requests {
            let planned_at = start + Duration::from_micros(request.at_us);
            tokio::time::sleep_until(planned_at.into()).await;
            let player = self.clone();
            let request = *request;
            running.spawn(async move { player.serve(request, planned_at).await });
        }
        running
    }

    async fn serve(&self, request: PlannedRequest, planned_at: Instant) -> Outcome {
        let sent_late = planned_at.elapsed();
        tokio::time::sleep_until((planned_at + self.client_one_way).into()).await;
        let mut tried = Vec::new();
        let attempt = self.attempt(&request, planned_at, &mut tried).await;
        let seen_after = |at: Instant| (at + self.client_one_way).duration_since(planned_at);
        let (ending, said_not_run, first_token_at) = match attempt {
            Attempt::NotSent(error) => (Ending::Broken(error), false, None),
            Attempt::Refused {
                reason, not_run, ..
            } => (Ending::Refused(reason), not_run, None),
            Attempt::Ended {
                ending,
                first_token_at,
            } => (ending, false, first_token_at),
        };
        Outcome {
            request,
            ending,
            first_token_us: first_token_at.map(|at| seen_after(at).as_micros() as u64),
            total_us: seen_after(Instant::now()).as_micros() as u64,
            sent_late_us: sent_late.as_micros() as u64,
            said_not_run,
            tries: tried.len() as u32,
        }
    }

    /// Sends the request, again to another target while it certainly did not run.
    async fn attempt(
        &self,
        request: &PlannedRequest,
        planned_at: Instant,
        tried: &mut Vec<SocketAddr>,
    ) -> Attempt {
        let deadline = Duration::from_millis(request.deadline_ms);
        let give_up_at = planned_at + deadline - self.client_one_way;
        loop {
            let Some(target) = self.policy.target(request, tried) else {
                return Attempt::NotSent("no target is left".to_owned());
            };
            tried.push(target.address);
            let attempt = self.client.send(&target, request, give_up_at).await;
            let may_retry = tried.len() < MAX_TRIES && Instant::now() < give_up_at;
            let did_not_run = match &attempt {
                Attempt::NotSent(_) => true,
                Attempt::Refused { not_run, .. } => *not_run && self.policy.retries_refusals(),
                Attempt::Ended { .. } => false,
            };
            if !may_retry || !did_not_run {
                return attempt;
            }
        }
    }
}
