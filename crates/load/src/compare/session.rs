//! One policy's run through every phase.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use super::{Audit, CpuMeter, PhaseFigures, PhaseReport, Player, PolicyReport, SecondReport};
use crate::error::LoadError;
use crate::fleet::Fleet;
use crate::plan::{Phase, Plan, PlannedRequest};
use crate::policy::{Policy, PolicyName};
use crate::record::Outcome;
use crate::workload::Workload;

/// Part of the swing phase in which engines are slowed.
const SLOWED_FROM_SHARE: f64 = 0.33;
const SLOWED_UNTIL_SHARE: f64 = 0.67;

/// One policy with its stand-ins.
pub struct Session<'a> {
    workload: &'a Workload,
    plan: &'a Plan,
    fleet: Fleet,
    policy: Arc<dyn Policy>,
}

impl<'a> Session<'a> {
    /// Starts the stand-ins and the policy.
    ///
    /// # Errors
    ///
    /// Fails when something can't be started.
    pub async fn start(
        workload: &'a Workload,
        plan: &'a Plan,
        name: PolicyName,
    ) -> Result<Self, LoadError> {
        let fleet = Fleet::start(workload, name.engines_load()).await;
        let fleet = fleet.map_err(LoadError::Fleet)?;
        let policy = name.start(workload, &fleet).await?;
        Ok(Self {
            workload,
            plan,
            fleet,
            policy,
        })
    }

    /// Plays the phases without a pause, waits for the last answer and stops the stand-ins.
    pub async fn run(self, name: PolicyName) -> PolicyReport {
        let cpu = CpuMeter::start();
        let mut played = Vec::new();
        for phase in Phase::ALL {
            played.push(self.play(phase).await);
        }
        let mut phases = Vec::new();
        let mut outcomes = Vec::new();
        for phase in played {
            let ended = phase.running.join_all().await;
            phases.push(PhaseReport::new(phase.figures, &ended));
            outcomes.extend(ended);
        }
        let worst_us = outcomes.iter().map(|outcome| outcome.sent_late_us).max();
        let report = PolicyReport {
            policy: name.as_str(),
            phases,
            swing_seconds: by_second(&outcomes),
            audit: Audit::new(self.plan, &self.fleet.runs().await, &outcomes),
            worst_send_lag_ms: worst_us.unwrap_or_default() as f64 / 1_000.0,
            busy_cores: cpu.busy_cores(),
        };
        self.policy.stop().await;
        self.fleet.stop().await;
        report
    }

    async fn play(&self, phase: Phase) -> Played {
        let requests: Vec<PlannedRequest> = self.plan.of(phase).copied().collect();
        let one_way = Duration::from_secs_f64(self.workload.network.client_one_way_ms / 1_000.0);
        let player = Player::new(Arc::clone(&self.policy), one_way);
        let length_s = phase.length_s(&self.workload.phases);
        let before = self.fleet.totals().await;
        let waited_before_ms = self.policy.load_wait_ms().await;
        let (running, (), ()) = tokio::join!(
            player.send(&requests),
            self.slow_engines(phase),
            tokio::time::sleep(Duration::from_secs_f64(length_s)),
        );
        let fleet = self.fleet.totals().await - before;
        let waited_ms = self.policy.load_wait_ms().await - waited_before_ms;
        let figures = PhaseFigures {
            phase,
            length_s,
            load_wait_ms: waited_ms + fleet.engine_load_wait_ms,
            fleet,
        };
        Played { running, figures }
    }

    /// Slows engines during the slowed phase and in the middle of the swing phase.
    async fn slow_engines(&self, phase: Phase) {
        let phases = &self.workload.phases;
        let (from_s, until_s) = match phase {
            Phase::Slowed => (0.0, phases.steady_s),
            Phase::Swing => (
                phases.swing_s * SLOWED_FROM_SHARE,
                phases.swing_s * SLOWED_UNTIL_SHARE,
            ),
            _ => return,
        };
        tokio::time::sleep(Duration::from_secs_f64(from_s)).await;
        self.fleet.set_slowed(true);
        tokio::time::sleep(Duration::from_secs_f64(until_s - from_s)).await;
        self.fleet.set_slowed(false);
    }
}

/// A phase whose requests are all sent.
struct Played {
    running: JoinSet<Outcome>,
    figures: PhaseFigures,
}

fn by_second(outcomes: &[Outcome]) -> Vec<SecondReport> {
    let mut seconds: Vec<SecondReport> = Vec::new();
    for outcome in outcomes
        .iter()
        .filter(|outcome| outcome.request.phase == Phase::Swing)
    {
        let second = (outcome.request.at_us / 1_000_000) as usize;
        if seconds.len() <= second {
            seconds.resize(second + 1, SecondReport::default());
        }
        seconds[second].sent += 1;
        seconds[second].in_time += u64::from(outcome.in_time());
    }
    seconds
}
