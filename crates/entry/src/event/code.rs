//! Event numbers.

use std::fmt;

use super::{CATALOGUE, CatalogueEntry};

/// Number of an event, shown as `MS1001`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EventCode(pub u16);

impl EventCode {
    /// Returns the catalogue entry, or `None` if the number is not in the catalogue.
    ///
    /// ```
    /// # use monsoonspread_entry::event::EventCode;
    /// assert!(EventCode(1001).entry().is_some());
    /// ```
    pub fn entry(self) -> Option<&'static CatalogueEntry> {
        CATALOGUE.iter().find(|entry| entry.code == self)
    }
}

impl fmt::Display for EventCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "MS{}", self.0)
    }
}
