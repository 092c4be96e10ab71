//! Slopes: how state, messages and processor time grow with the fleet.
//!
//! Each probe is measured at several sizes and fitted with a line; `docs/CAPACITY.md`
//! multiplies the slopes by the target's numbers.

mod bundle_probes;
mod entry_probes;
mod line;
mod measure;
mod member_probes;
mod message_probes;
mod owner_probes;
mod ownership_probes;
mod probe;
mod samples;
#[cfg(test)]
mod tests;

pub use line::{Line, Point};
pub use probe::{Probe, Slope, Unit};

/// Every probe; memory is measured before time, while little memory has been freed.
pub fn probes() -> Vec<Probe> {
    let all = [
        bundle_probes::PROBES,
        entry_probes::PROBES,
        member_probes::PROBES,
        owner_probes::PROBES,
        ownership_probes::PROBES,
        message_probes::PROBES,
    ]
    .concat();
    let (memory, other): (Vec<Probe>, Vec<Probe>) = all
        .into_iter()
        .partition(|probe| probe.name.contains(".resident"));
    memory.into_iter().chain(other).collect()
}

/// Writes the slopes as a table.
///
/// ```
/// assert!(monsoonspread_load::slopes::table(&[]).starts_with("slope"));
/// ```
pub fn table(slopes: &[Slope]) -> String {
    let head = format!(
        "{:<28} {:>12} {:<24} {:>12} {:>8}\n",
        "slope", "value", "unit", "intercept", "R2"
    );
    let rows = slopes.iter().map(|slope| {
        format!(
            "{:<28} {:>12.3} {:<24} {:>12.1} {:>8.4}\n",
            slope.name,
            slope.line.slope,
            format!("{}/{}", slope.unit.as_str(), slope.per),
            slope.line.intercept,
            slope.line.r_squared,
        )
    });
    std::iter::once(head).chain(rows).collect()
}
