//! The instance list as it was read.

use monsoonspread_model::ListedInstance;
use serde_json::Value;

/// Maximum length of what is told of an invalid row, which may quote values of any length.
const MAX_PROBLEM_CHARS: usize = 200;

/// The instance list as it was read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadList {
    /// The listed instances.
    pub instances: Vec<ListedInstance>,
    /// Why each row that names no instance is invalid.
    pub invalid_rows: Vec<String>,
}

impl ReadList {
    /// Reads the rows one by one, so that an invalid one leaves the others in the list.
    pub(super) fn from_rows(rows: Vec<Value>) -> Self {
        let mut list = Self::default();
        for (number, row) in rows.into_iter().enumerate() {
            match serde_json::from_value(row) {
                Ok(instance) => list.instances.push(instance),
                Err(error) => {
                    let problem = format!("row {number}: {error}");
                    let problem = problem.chars().take(MAX_PROBLEM_CHARS).collect();
                    list.invalid_rows.push(problem);
                }
            }
        }
        list
    }
}
