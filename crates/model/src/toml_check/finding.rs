//! Findings in a settings or bundle file.

use std::fmt;

use thiserror::Error;

/// One problem in a file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
pub struct Finding {
    /// Line in the file, counted from 1.
    pub line: usize,
    /// Dotted key; empty for the file as a whole.
    pub key: String,
    /// Description of the problem.
    pub message: String,
}

/// All problems in one file, ordered by line.
#[derive(Clone, Debug, Eq, Error, PartialEq, serde::Serialize)]
pub struct Findings {
    /// Name of the file.
    pub file: String,
    /// The problems.
    pub findings: Vec<Finding>,
}

impl Findings {
    /// Sorts the findings of `file`.
    ///
    /// ```
    /// # use monsoonspread_model::toml_check::Findings;
    /// assert_eq!(Findings::new("entry.toml", Vec::new()).to_string(), "");
    /// ```
    pub fn new(file: &str, mut findings: Vec<Finding>) -> Self {
        findings.sort();
        Self {
            file: file.to_owned(),
            findings,
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{}: ", self.file, finding.line)?;
            if !finding.key.is_empty() {
                write!(f, "{}: ", finding.key)?;
            }
            f.write_str(&finding.message)?;
        }
        Ok(())
    }
}
