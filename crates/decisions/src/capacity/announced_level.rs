//! Lasting speed of an engine, from the times that it announces with its answers.

use serde::{Deserialize, Serialize};

/// Time of work on an engine at the usual speed, in percent.
const USUAL_PERCENT: u32 = 100;
/// Largest rise of the level with one announcement, in percent of the level: a neighbour's load of
/// 600 ms, some ten announcements, raises it by a fifth.
const RISE_PERCENT: u32 = 2;
/// Level up to which an engine counts as fast, in percent.
const FAST_PERCENT: u32 = 70;
/// Level from which an engine counts as slow, in percent.
const SLOW_PERCENT: u32 = 150;

/// Lasting speed of an engine, in steps wide enough for all instances to agree.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum SpeedClass {
    /// Work takes well below the usual time.
    #[serde(rename = "f")]
    Fast,
    /// About the usual time, or nothing is known.
    #[default]
    #[serde(rename = "u")]
    Usual,
    /// Well above the usual time.
    #[serde(rename = "s")]
    Slow,
}

impl SpeedClass {
    /// Share of the adapters for an engine, relative to a usual one.
    ///
    /// ```
    /// # use monsoonspread_decisions::capacity::SpeedClass;
    /// assert_eq!(SpeedClass::default().weight(), 1.0);
    /// assert_eq!(SpeedClass::Fast.weight(), 2.0);
    /// ```
    pub fn weight(self) -> f64 {
        match self {
            Self::Fast => 2.0,
            Self::Usual => 1.0,
            Self::Slow => 0.5,
        }
    }

    /// Whether an engine is of the usual speed.
    ///
    /// ```
    /// # use monsoonspread_decisions::capacity::SpeedClass;
    /// assert!(SpeedClass::default().is_usual());
    /// ```
    pub fn is_usual(&self) -> bool {
        *self == Self::Usual
    }
}

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
    /// # use monsoonspread_decisions::capacity::{AnnouncedLevel, SpeedClass};
    /// let mut level = AnnouncedLevel::default();
    /// level.on_announced(55);
    /// level.on_announced(138);
    /// assert_eq!(level.percent(), Some(56));
    /// assert_eq!(level.class(), SpeedClass::Fast);
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

    /// Returns the lasting speed.
    pub fn class(&self) -> SpeedClass {
        match self.percent() {
            Some(percent) if percent <= FAST_PERCENT => SpeedClass::Fast,
            Some(percent) if percent >= SLOW_PERCENT => SpeedClass::Slow,
            _ => SpeedClass::Usual,
        }
    }
}
