//! One change.

use std::collections::BTreeSet;
use std::fmt;

use monsoonspread_model::CallerName;
use serde::Serialize;

/// How a thing changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// It is new.
    Added,
    /// It is there before and after.
    Changed,
    /// It goes.
    Removed,
}

impl ChangeKind {
    pub(super) fn of(before: bool, after: bool) -> Self {
        match (before, after) {
            (false, _) => Self::Added,
            (true, true) => Self::Changed,
            (true, false) => Self::Removed,
        }
    }
}

/// One thing that changes from a bundle to the next.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// `adapter`, `caller` or `service`.
    pub thing: &'static str,
    /// Its name.
    pub name: String,
    /// How it changes.
    pub kind: ChangeKind,
    /// What is new about it.
    pub details: Vec<String>,
    /// Callers that see the change.
    pub callers: BTreeSet<CallerName>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            ChangeKind::Added => "added",
            ChangeKind::Changed => "changed",
            ChangeKind::Removed => "removed",
        };
        write!(f, "{} \"{}\" {kind}", self.thing, self.name)?;
        if !self.details.is_empty() {
            write!(f, ": {}", self.details.join(", "))?;
        }
        if self.thing == "caller" || self.callers.is_empty() {
            return Ok(());
        }
        let callers = self.callers.iter().map(ToString::to_string);
        write!(
            f,
            "; for callers {}",
            callers.collect::<Vec<_>>().join(", ")
        )
    }
}
