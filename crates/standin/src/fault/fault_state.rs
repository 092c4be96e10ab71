//! The faults in force.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::watch;

use super::Fault;

/// What is wrong with a stand-in now.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Switches {
    slow_factor: f64,
    paused: bool,
    down: bool,
    fail_loads: u32,
    refusing: bool,
    lose_answers: u32,
    delay_ms: u64,
    cut_peers: BTreeSet<String>,
    cut_streams: u32,
    draining: bool,
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            paused: false,
            down: false,
            fail_loads: 0,
            refusing: false,
            lose_answers: 0,
            delay_ms: 0,
            cut_peers: BTreeSet::new(),
            cut_streams: 0,
            draining: false,
        }
    }
}

/// The faults of one stand-in, shared by all that must heed them.
#[derive(Debug)]
pub struct FaultState {
    switches: watch::Sender<Switches>,
    cold_start: Duration,
}

impl FaultState {
    /// No fault; a restart takes `cold_start`.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use monsoonspread_standin::FaultState;
    /// let faults = FaultState::new(Duration::from_secs(3));
    /// ```
    pub fn new(cold_start: Duration) -> Self {
        Self {
            switches: watch::Sender::new(Switches::default()),
            cold_start,
        }
    }

    /// Switches one fault.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use monsoonspread_standin::{Fault, FaultState};
    /// FaultState::new(Duration::ZERO).apply(Fault::Drain { on: true });
    /// ```
    pub fn apply(&self, fault: Fault) {
        if fault == Fault::Restart {
            return self.restart();
        }
        self.switches.send_modify(|switches| match fault {
            Fault::Slow { factor } => switches.slow_factor = factor.max(0.0),
            Fault::Pause => switches.paused = true,
            Fault::Resume => switches.paused = false,
            Fault::Crash | Fault::Restart => switches.down = true,
            Fault::Start => switches.down = false,
            Fault::FailLoads { count } => switches.fail_loads = count,
            Fault::Refuse { on } => switches.refusing = on,
            Fault::LoseAnswers { count } => switches.lose_answers = count,
            Fault::DelayAnswers { delay_ms } => switches.delay_ms = delay_ms,
            Fault::Cut { peers } => switches.cut_peers = peers.into_iter().collect(),
            Fault::CutStreams { count } => switches.cut_streams = count,
            Fault::Drain { on } => switches.draining = on,
            Fault::Clear => *switches = Switches::default(),
        });
    }

    fn restart(&self) {
        self.switches.send_modify(|switches| switches.down = true);
        let switches = self.switches.clone();
        let cold_start = self.cold_start;
        tokio::spawn(async move {
            tokio::time::sleep(cold_start).await;
            switches.send_modify(|switches| switches.down = false);
        });
    }

    /// How many times as long everything takes.
    pub(crate) fn slow_factor(&self) -> f64 {
        self.switches.borrow().slow_factor
    }

    /// Whether it takes no new work.
    pub(crate) fn is_draining(&self) -> bool {
        self.switches.borrow().draining
    }

    /// Whether it refuses every request.
    pub(crate) fn is_refusing(&self) -> bool {
        self.switches.borrow().refusing
    }

    /// Whether the named peer is cut off.
    pub(crate) fn cuts(&self, peer: &str) -> bool {
        self.switches.borrow().cut_peers.contains(peer)
    }

    /// How much later answers go out.
    pub(crate) fn answer_delay(&self) -> Duration {
        Duration::from_millis(self.switches.borrow().delay_ms)
    }

    /// Whether the load that ends now fails.
    pub(crate) fn take_failed_load(&self) -> bool {
        self.take(|switches| &mut switches.fail_loads)
    }

    /// Whether the answer that goes out now is lost.
    pub(crate) fn take_lost_answer(&self) -> bool {
        self.take(|switches| &mut switches.lose_answers)
    }

    /// Whether the stream that begins now is cut in the middle.
    pub(crate) fn take_cut_stream(&self) -> bool {
        self.take(|switches| &mut switches.cut_streams)
    }

    fn take(&self, count: impl Fn(&mut Switches) -> &mut u32) -> bool {
        self.switches.send_if_modified(|switches| {
            let count = count(switches);
            let taken = *count > 0;
            *count = count.saturating_sub(1);
            taken
        })
    }

    /// Waits while paused.
    pub(crate) async fn running(&self) {
        self.wait_for(|switches| !switches.paused).await;
    }

    /// Waits for a crash.
    pub(crate) async fn crashed(&self) {
        self.wait_for(|switches| switches.down).await;
    }

    /// Waits until it is up.
    pub(crate) async fn started(&self) {
        self.wait_for(|switches| !switches.down).await;
    }

    /// Waits until the peer, once known, is cut off.
    pub(crate) async fn cut_off(&self, peer: &std::sync::OnceLock<String>) {
        let is_cut = |switches: &Switches| {
            peer.get()
                .is_some_and(|peer| switches.cut_peers.contains(peer))
        };
        self.wait_for(is_cut).await;
    }

    async fn wait_for(&self, condition: impl Fn(&Switches) -> bool) {
        let mut receiver = self.switches.subscribe();
        // The sender lives in `self`, so the wait can't fail.
        let _ = receiver.wait_for(|switches| condition(switches)).await;
    }
}
