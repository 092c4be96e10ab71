//! What is wrong in a settings file.

use std::fmt;

/// One thing that is wrong, with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The file, as it was named to the process.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The key with its tables, such as `limits.body_bytes`.
    pub key: String,
    /// What is wrong, as a sentence.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}:{}: {}",
            self.file, self.line, self.key, self.message
        )
    }
}

/// Everything that is wrong in a settings file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        write!(f, "{} finding(s); nothing was started", self.0.len())
    }
}

impl std::error::Error for Findings {}
