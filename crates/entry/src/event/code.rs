//! Numbers of events.

use std::fmt;

use super::{CATALOGUE, CatalogueEntry};

/// An event's number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EventCode(pub u16);

impl EventCode {
    /// The event's row in the catalogue.
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
