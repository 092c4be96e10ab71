//! A clock that is immune to wall-clock steps and keeps counting while the machine is suspended.

use monsoonspread_model::UnixMs;
use rustix::time::{ClockId, clock_gettime};

/// A clock that starts at the wall-clock time and then follows the time since boot.
///
/// The time since boot counts while the machine is suspended, as leases do.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    started_unix_ms: u64,
    started_boot_ms: u64,
}

impl SteadyClock {
    /// Starts from the time of day.
    ///
    /// ```
    /// # use monsoonspread_relay::clock::SteadyClock;
    /// let clock = SteadyClock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self {
            started_unix_ms: UnixMs::now().0,
            started_boot_ms: boot_ms(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> UnixMs {
        UnixMs(self.started_unix_ms + boot_ms().saturating_sub(self.started_boot_ms))
    }
}

fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
