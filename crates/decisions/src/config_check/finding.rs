//! One finding on a configuration.

use std::fmt;

/// What a finding means for the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// An entry differs from the version in force.
    Change,
    /// The configuration doesn't work as written.
    Error,
    /// The entry has no effect, or contradicts another one.
    Warning,
}

/// The entry of a configuration that a finding is on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Place {
    /// The limits on clients.
    Limits,
    /// A route, by its name.
    Route(String),
    /// A service, by its name.
    Service(String),
    /// The version.
    Version,
    /// A workspace, by its name.
    Workspace(String),
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Limits => f.write_str("limits"),
            Self::Route(name) => write!(f, "route \"{name}\""),
            Self::Service(name) => write!(f, "service \"{name}\""),
            Self::Version => f.write_str("version"),
            Self::Workspace(name) => write!(f, "workspace \"{name}\""),
        }
    }
}

/// One finding on a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// What it means.
    pub severity: Severity,
    /// Where it is.
    pub place: Place,
    /// What was found.
    pub problem: String,
}

impl Finding {
    pub(super) fn error(place: Place, problem: impl Into<String>) -> Self {
        Self::new(Severity::Error, place, problem)
    }

    pub(super) fn warning(place: Place, problem: impl Into<String>) -> Self {
        Self::new(Severity::Warning, place, problem)
    }

    pub(super) fn change(place: Place, problem: impl Into<String>) -> Self {
        Self::new(Severity::Change, place, problem)
    }

    fn new(severity: Severity, place: Place, problem: impl Into<String>) -> Self {
        Self {
            severity,
            place,
            problem: problem.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Change => "change",
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {}: {}", self.place, self.problem)
    }
}
