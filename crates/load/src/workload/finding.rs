//! What is wrong in a workload file, with its place.

use std::cell::RefCell;
use std::fmt;

/// One fault in a file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// The file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The key, with the tables it stands in.
    pub key: String,
    /// What is wrong, as a sentence without its subject.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: {} {}",
            self.file, self.line, self.key, self.message
        )
    }
}

/// Every fault of one file.
#[derive(Debug)]
pub struct Findings<'a> {
    file: &'a str,
    text: &'a str,
    list: RefCell<Vec<Finding>>,
}

impl<'a> Findings<'a> {
    /// Starts with none for the file named `file` that holds `text`.
    ///
    /// ```
    /// # use monsoonspread_load::workload::Findings;
    /// let findings = Findings::new("w.toml", "a = 1\nb = 2\n");
    /// findings.add(6, "b", "must be 3");
    /// assert_eq!(findings.into_list()[0].to_string(), "w.toml:2: b must be 3");
    /// ```
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            list: RefCell::default(),
        }
    }

    /// Adds one at the byte `offset` of the file.
    pub fn add(&self, offset: usize, key: &str, message: impl Into<String>) {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        self.list.borrow_mut().push(Finding {
            file: self.file.to_owned(),
            line,
            key: key.to_owned(),
            message: message.into(),
        });
    }

    /// The findings in the order of the file.
    pub fn into_list(self) -> Vec<Finding> {
        let mut list = self.list.into_inner();
        list.sort();
        list
    }
}
