//! Lasting speed of an engine, from the times that it announces with its answers.

/// Time of work on an engine at the usual speed, in percent.
const USUAL_PERCENT: u32 = 100;
/// Largest rise of the level with one announcement, in percent of the level: a neighbour's load of
/// 600 ms, some ten announcements, raises it by a fifth.
const RISE_PERCENT: u32 = 2;
/// Follows the times that an engine announces: falls at once, and rises slowly, since the load of a
/// neighbour on the engine's machine only ever adds to them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnnouncedLevel {
    percent: Option<f64>,
}

impl AnnouncedLevel {
    /// The engine announced that work takes `percent` of the usual time.
    ///
    /// ```
    /// # use monsoonspread_decisions::capacity::AnnouncedLevel;
    /// let mut level = AnnouncedLevel::default();
    /// level.on_announced(55);
    /// level.on_announced(138);
    /// assert_eq!(level.percent(), Some(56));
    /// ```
    pub fn on_announced(&mut self, percent: u32) {
        let announced = f64::from(percent.max(1));
        let highest = self.percent.map_or(announced, |level| {
            level * f64::from(USUAL_PERCENT + RISE_PERCENT) / f64::from(USUAL_PERCENT)
        });
        self.percent = Some(announced.min(highest));
    }

    /// Time of work in percent of the usual time; `None` before the first announcement.
    pub fn percent(&self) -> Option<u32> {
        self.percent.map(|percent| percent.round() as u32)
    }
}
