//! Log lines on the estimated speed of held engines.

use monsoonspread_model::{UnixMs, UpstreamName};

use super::engine::HeldEngine;
use crate::event::{Line, kind};
use crate::shared::Shared;

/// Logs a change of an engine's estimated speed, at most once a second for each engine.
pub(super) fn log_speed_change(
    shared: &Shared,
    now: UnixMs,
    name: &UpstreamName,
    engine: &mut HeldEngine,
) {
    let Some((before, percent)) = engine.control.take_speed_change(now) else {
        return;
    };
    let speed = engine.control.dump().speed;
    let age_ms = speed.sampled_at.map_or(0, |at| now.ms_since(at));
    let outcome = if percent > before { "slower" } else { "faster" };
    shared.metrics.count("engine_speed", outcome);
    Line::new(&kind::ENGINE_SPEED)
        .field("upstream", name)
        .field("before", before)
        .field("percent", percent)
        .field("read_ns", speed.paces.read_ns.unwrap_or(0))
        .field("usual_read_ns", speed.usual.read_ns.unwrap_or(0))
        .field("event_us", speed.paces.event_us.unwrap_or(0))
        .field("usual_event_us", speed.usual.event_us.unwrap_or(0))
        .field("age_ms", age_ms)
        .log();
}
