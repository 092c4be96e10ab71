//! The engine's own speed, measured from the requests that were granted on it.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;
use serde::Serialize;

use super::CopyRequestId;
use crate::capacity::{AnnouncedLevel, EnginePaces, EngineSpeed};

/// Slowness of an engine at its usual speed, in percent.
const USUAL_PERCENT: u32 = 100;
/// Change of the slowness that is reported, in percent of the usual time.
const REPORTED_CHANGE_PERCENT: u32 = 25;
/// Shortest time between two reports of one engine, in milliseconds.
const REPORT_GAP_MS: u64 = 1_000;
/// How long a load that the engine announced is taken out of its times, in milliseconds.
const LOAD_MS: u64 = 500;

#[derive(Clone, Copy, Debug)]
struct Run {
    read_tokens: u32,
    started_at: Option<UnixMs>,
    ends_by: UnixMs,
}

/// Estimate of an engine's own speed, without the load that it announces.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SpeedDump {
    /// Time of its work in percent of the usual time.
    pub slowness_percent: u32,
    /// Its lasting time of work as announced, in percent of the usual time; `None` if it announced none.
    pub announced_percent: Option<u32>,
    /// Its paces.
    pub paces: EnginePaces,
    /// The usual paces: the median over engines.
    pub usual: EnginePaces,
    /// When the newest sample was taken; `None` without samples.
    pub sampled_at: Option<UnixMs>,
}

/// Measures an engine's speed against the usual one.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnSpeed {
    speed: EngineSpeed,
    usual: EnginePaces,
    paces: EnginePaces,
    slowness_percent: u32,
    runs: BTreeMap<CopyRequestId, Run>,
    load_percent: u32,
    load_until: UnixMs,
    level: AnnouncedLevel,
    reported_percent: u32,
    reported_at: UnixMs,
}

impl OwnSpeed {
    /// A request is sent, of whose prompt the engine lacks `read_tokens` tokens.
    pub(super) fn on_sent(
        &mut self,
        now: UnixMs,
        request: &CopyRequestId,
        read_tokens: u32,
        ends_by: UnixMs,
    ) {
        let run = Run {
            read_tokens,
            started_at: None,
            ends_by,
        };
        self.runs.insert(request.clone(), run);
        self.speed.on_sent(now);
    }

    /// The engine announced the load that a neighbour causes.
    pub(super) fn on_load(&mut self, now: UnixMs, load_percent: u32) {
        self.load_percent = load_percent;
        self.load_until = now + LOAD_MS;
        self.level.on_announced(load_percent);
    }

    /// The first event of an answer arrived.
    pub(super) fn on_started(&mut self, now: UnixMs, request: &CopyRequestId) {
        let load_percent = self.load_percent(now);
        let Some(run) = self.runs.get_mut(request) else {
            return;
        };
        if run.started_at.is_none() {
            run.started_at = Some(now);
            self.speed.on_started(now, run.read_tokens, load_percent);
        }
    }

    /// A request ended after `events` events, or was never sent.
    pub(super) fn on_done(&mut self, now: UnixMs, request: &CopyRequestId, events: u32) {
        let load_percent = self.load_percent(now);
        match self.runs.remove(request).map(|run| run.started_at) {
            Some(Some(started_at)) => {
                let lasted_ms = now.ms_since(started_at);
                self.speed.on_streamed(now, lasted_ms, events, load_percent);
            }
            Some(None) => self.speed.on_unanswered(now),
            None => {}
        }
    }

    /// The usual paces changed.
    pub(super) fn on_usual(&mut self, usual: EnginePaces) {
        self.usual = usual;
    }

    /// The engine restarted: its new incarnation is measured anew.
    pub(super) fn clear(&mut self) {
        let usual = self.usual;
        *self = Self {
            usual,
            ..Self::default()
        };
    }

    /// Drops requests whose end was never reported, and takes the current estimate.
    pub(super) fn on_tick(&mut self, now: UnixMs) {
        let is_over = |run: &Run| run.ends_by <= now;
        let over = self.runs.values().filter(|run| is_over(run));
        for _ in 0..over.filter(|run| run.started_at.is_none()).count() {
            self.speed.on_unanswered(now);
        }
        self.runs.retain(|_, run| !is_over(run));
        self.paces = self.speed.paces(now);
        self.slowness_percent = self.paces.slowness_percent(&self.usual);
    }

    /// The paces as of the last tick.
    pub(super) fn paces(&self) -> EnginePaces {
        self.paces
    }

    /// Time of the engine's work in percent of the usual time, as of the last tick.
    pub(super) fn slowness_percent(&self) -> u32 {
        self.slowness_percent.max(USUAL_PERCENT)
    }

    /// Returns the slowness before and after a change that has to be reported.
    pub(super) fn take_change(&mut self, now: UnixMs) -> Option<(u32, u32)> {
        let before = self.reported_percent.max(USUAL_PERCENT);
        let percent = self.slowness_percent();
        let is_same = before.abs_diff(percent) < REPORTED_CHANGE_PERCENT;
        if is_same || now.ms_since(self.reported_at) < REPORT_GAP_MS {
            return None;
        }
        self.reported_percent = percent;
        self.reported_at = now;
        Some((before, percent))
    }

    pub(super) fn dump(&self) -> SpeedDump {
        SpeedDump {
            slowness_percent: self.slowness_percent(),
            announced_percent: self.level.percent(),
            paces: self.paces,
            usual: self.usual,
            sampled_at: self.speed.sampled_at(),
        }
    }

    fn load_percent(&self, now: UnixMs) -> u32 {
        if now < self.load_until {
            return self.load_percent;
        }
        self.level.percent().unwrap_or(USUAL_PERCENT)
    }
}
