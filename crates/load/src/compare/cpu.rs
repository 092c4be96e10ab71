//! Processor time of this process.

use std::time::Instant;

/// Clock ticks in a second, as `/proc/self/stat` counts them.
const TICKS_PER_S: f64 = 100.0;
/// Places of user and system time in `/proc/self/stat`, counted after the command's name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Measures the cores that this process keeps busy.
#[derive(Clone, Copy, Debug)]
pub struct CpuMeter {
    started_at: Instant,
    started_s: f64,
}

impl CpuMeter {
    /// Starts to measure.
    ///
    /// ```
    /// # use monsoonspread_load::compare::CpuMeter;
    /// assert!(CpuMeter::start().busy_cores() >= 0.0);
    /// ```
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
            started_s: cpu_s(),
        }
    }

    /// Cores kept busy on average since the start.
    pub fn busy_cores(&self) -> f64 {
        let elapsed_s = self.started_at.elapsed().as_secs_f64();
        (cpu_s() - self.started_s) / elapsed_s.max(0.001)
    }
}

/// Processor time that this process has used, 0 where it can't be read.
pub fn cpu_s() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |place: usize| -> f64 {
        let field = fields.get(place).and_then(|field| field.parse().ok());
        field.unwrap_or_default()
    };
    (ticks(USER_TIME) + ticks(SYSTEM_TIME)) / TICKS_PER_S
}
