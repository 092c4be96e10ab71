//! Limits of the machine, as the operating system states them.

use monsoonspread_decisions::memory_budget::MachineShares;

use crate::event::{Line, kind};
use crate::settings::MachineSettings;

/// Where Linux states the machine's memory, in kilobytes.
const MEMORY_FILE: &str = "/proc/meminfo";
const MEMORY_FIELD: &str = "MemTotal:";
/// Where Linux states the limits of the process.
const LIMITS_FILE: &str = "/proc/self/limits";
const DESCRIPTORS_FIELD: &str = "Max open files";
/// Memory that is assumed if it is stated nowhere, in megabytes: that of a small machine.
const DEFAULT_MEMORY_MB: u64 = 128;
/// Descriptors that are assumed if they are stated nowhere: Linux's default.
const DEFAULT_DESCRIPTORS: u64 = 1_024;
/// Bytes of a megabyte.
const MB_BYTES: u64 = 1_000_000;
/// Bytes of a kilobyte in Linux's files.
const KB_BYTES: u64 = 1_024;

/// Splits the machine of `settings`, or else the one that the operating system states.
pub(super) fn machine_shares(settings: &MachineSettings) -> MachineShares {
    let memory_bytes = match settings.memory_mb {
        Some(memory_mb) => memory_mb * MB_BYTES,
        None => number(MEMORY_FILE, MEMORY_FIELD)
            .map_or(DEFAULT_MEMORY_MB * MB_BYTES, |kb| kb * KB_BYTES),
    };
    let descriptors = settings
        .max_descriptors
        .or_else(|| number(LIMITS_FILE, DESCRIPTORS_FIELD))
        .unwrap_or(DEFAULT_DESCRIPTORS);
    let shares = MachineShares::new(at_most_usize(memory_bytes), at_most_usize(descriptors));
    Line::new(&kind::MACHINE_LIMITS)
        .field("memory_mb", memory_bytes / MB_BYTES)
        .field("descriptors", descriptors)
        .field("body_bytes", shares.body_bytes)
        .field("callers", shares.max_callers)
        .field("peers", shares.max_peers)
        .field("unread", shares.max_unread)
        .log();
    shares
}

fn at_most_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// Reads the first number of the line that begins with `field`; `None` if there is none, such as "unlimited".
fn number(file: &str, field: &str) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(field))?;
    line.split_whitespace().next()?.parse().ok()
}
