//! Progress of a roll-out.

use indicatif::{ProgressBar, ProgressStyle};

/// Hears how many instances report the bundle.
pub trait Progress: Send + Sync {
    /// `done` of `of` instances report it.
    fn reported(&self, done: usize, of: usize);
}

/// Shows nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoProgress;

impl Progress for NoProgress {
    fn reported(&self, _done: usize, _of: usize) {}
}

/// A line on standard error, where that is a terminal.
#[derive(Clone, Debug)]
pub struct ProgressLine {
    bar: ProgressBar,
}

impl ProgressLine {
    /// A line for bundle `version`.
    ///
    /// ```
    /// # use monsoonspread_ctl::fleet_status::{Progress, ProgressLine};
    /// ProgressLine::new(3).reported(2, 7);
    /// ```
    pub fn new(version: u64) -> Self {
        let bar = ProgressBar::new(0).with_message(format!("bundle {version}"));
        let style = ProgressStyle::with_template("{msg}: {pos} of {len} instances [{elapsed}]");
        if let Ok(style) = style {
            bar.set_style(style);
        }
        Self { bar }
    }
}

impl Progress for ProgressLine {
    fn reported(&self, done: usize, of: usize) {
        self.bar.set_length(of as u64);
        self.bar.set_position(done as u64);
    }
}

impl Drop for ProgressLine {
    fn drop(&mut self) {
        self.bar.finish_and_clear();
    }
}
