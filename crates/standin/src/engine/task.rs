//! The task that owns an engine's state, with one timer for all its requests.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use monsoonspread_model::LoadReport;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::EngineSettings;
use super::command::{Command, Fetched, Order};
use super::core::{Core, Step};
use super::sequence::adapter_of;
use crate::fault::{Fault, FaultState};
use crate::weights::WeightSource;

const SAMPLE_INTERVAL_MS: f64 = 100.0;

/// Runs an engine's steps and commands.
pub(super) struct Task {
    core: Core,
    settings: EngineSettings,
    faults: Arc<FaultState>,
    weights: Arc<dyn WeightSource>,
    commands: mpsc::UnboundedReceiver<Command>,
    own_commands: mpsc::WeakUnboundedSender<Command>,
    samples: VecDeque<(Instant, LoadReport)>,
    step_ends_at: Option<Instant>,
    last_step_end: Instant,
}

impl Task {
    pub(super) fn new(
        settings: EngineSettings,
        faults: Arc<FaultState>,
        weights: Arc<dyn WeightSource>,
        commands: mpsc::UnboundedReceiver<Command>,
        own_commands: mpsc::WeakUnboundedSender<Command>,
    ) -> Self {
        Self {
            core: Core::new(settings.clone()),
            settings,
            faults,
            weights,
            commands,
            own_commands,
            samples: VecDeque::new(),
            step_ends_at: None,
            last_step_end: Instant::now(),
        }
    }

    /// Runs until nobody can send commands any more.
    pub(super) async fn run(mut self) {
        let faults = Arc::clone(&self.faults);
        let sample_interval = self
            .settings
            .scaled(SAMPLE_INTERVAL_MS)
            .max(Duration::from_millis(5));
        let mut sampling = tokio::time::interval(sample_interval);
        sampling.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            faults.running().await;
            let step_ends_at = self.step_ends_at;
            tokio::select! {
                biased;
                () = sleep_until(step_ends_at) => self.finish_step(),
                command = self.commands.recv() => match command {
                    Some(command) => self.obey(command),
                    None => return,
                },
                _ = sampling.tick() => self.sample(),
            }
            self.begin_work();
        }
    }

    fn begin_work(&mut self) {
        for copy in self.core.begin_wanted_loads() {
            self.fetch(copy);
        }
        if self.step_ends_at.is_some() {
            return;
        }
        match self.core.begin_step() {
            None => {}
            Some(Step::Takes(time)) => {
                let begin = self.step_begin();
                self.step_ends_at = Some(begin + time.mul_f64(self.faults.slow_factor()));
            }
            Some(Step::Crashes) => {
                self.core.crash();
                self.faults.apply(Fault::Restart);
            }
        }
    }

    /// Follows the last step without a gap, so that a late timer does not slow the engine.
    fn step_begin(&self) -> Instant {
        const MAX_TIMER_DELAY: Duration = Duration::from_millis(4);
        let now = Instant::now();
        if now.duration_since(self.last_step_end) <= MAX_TIMER_DELAY {
            self.last_step_end
        } else {
            now
        }
    }

    fn finish_step(&mut self) {
        if let Some(end) = self.step_ends_at.take() {
            self.last_step_end = end;
            self.core.finish_step();
        }
    }

    fn obey(&mut self, command: Command) {
        let now = Instant::now();
        match command {
            Command::Generate(request, taken) => {
                let _ = taken.send(self.core.generate(request, &self.faults, now));
            }
            Command::Load(order) => self.load(order),
            Command::Unload(order) => self.core.unload(order),
            Command::Fence(order) => self.core.fence(order),
            Command::Fetched(fetched) => self.fetched(fetched, now),
            Command::Report(answer) => {
                let _ = answer.send(self.lagging_report());
            }
            Command::Models(answer) => {
                let _ = answer.send(self.core.models());
            }
            Command::Counters(answer) => {
                let _ = answer.send(self.core.counters.clone());
            }
            Command::Crash => self.crash(),
        }
    }

    fn crash(&mut self) {
        self.core.crash();
        self.step_ends_at = None;
        self.samples.clear();
    }

    fn load(&mut self, order: Order) {
        let copy = order.copy.clone();
        if self.core.load(order) {
            self.fetch(copy);
        }
    }

    fn fetched(&mut self, fetched: Fetched, now: Instant) {
        if fetched.life == self.core.life {
            self.core.fetched(&fetched.copy, fetched.result, now);
        }
    }

    fn fetch(&self, copy: String) {
        let weights = Arc::clone(&self.weights);
        let faults = Arc::clone(&self.faults);
        let commands = self.own_commands.clone();
        let life = self.core.life;
        tokio::spawn(async move {
            let result = weights.fetch(adapter_of(&copy)).await;
            let result = match result {
                Err(error) => Err(error.to_string()),
                Ok(()) if faults.take_failed_load() => Err("the load failed".to_owned()),
                Ok(()) => Ok(()),
            };
            if let Some(commands) = commands.upgrade() {
                let _ = commands.send(Command::Fetched(Fetched { copy, life, result }));
            }
        });
    }

    fn sample(&mut self) {
        let now = Instant::now();
        let report = self.core.report(self.faults.is_draining());
        self.samples.push_back((now, report));
        let lag = self.settings.report_lag();
        let is_old = |sample: &(Instant, LoadReport)| now.duration_since(sample.0) >= lag;
        // Keeps one sample that is old enough, and all younger ones.
        while self.samples.get(1).is_some_and(is_old) {
            self.samples.pop_front();
        }
    }

    fn lagging_report(&self) -> LoadReport {
        match self.samples.front() {
            Some((_, report)) => report.clone(),
            None => self.core.report(self.faults.is_draining()),
        }
    }
}

async fn sleep_until(instant: Option<Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
