//! A parsed TOML file that collects findings while its values are read.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{Finding, Findings, TableReader};

/// A parsed TOML file with source positions, collected findings and the keys read so far.
pub struct Document<'a> {
    file: String,
    text: &'a str,
    root: Spanned<DeTable<'a>>,
    findings: RefCell<Vec<Finding>>,
    read_keys: RefCell<BTreeSet<String>>,
}

impl<'a> Document<'a> {
    /// Parses `text`; `file` is its name in findings.
    ///
    /// # Errors
    ///
    /// Returns all syntax errors with their lines.
    ///
    /// ```
    /// # use monsoonspread_model::toml_check::Document;
    /// let document = Document::parse("entry.toml", "zone = 3").unwrap();
    /// let zone = document.root().string("zone");
    /// let findings = document.finish(zone).unwrap_err();
    /// assert_eq!(findings.to_string(), "entry.toml:1: zone: must be a string");
    /// ```
    pub fn parse(file: &str, text: &'a str) -> Result<Self, Findings> {
        let (root, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            let findings = errors
                .iter()
                .map(|error| syntax_finding(text, error))
                .collect();
            return Err(Findings::new(file, findings));
        }
        Ok(Self {
            file: file.to_owned(),
            text,
            root,
            findings: RefCell::new(Vec::new()),
            read_keys: RefCell::new(BTreeSet::new()),
        })
    }

    /// Returns a reader of the top-level table.
    ///
    /// ```
    /// # use monsoonspread_model::toml_check::Document;
    /// let document = Document::parse("a.toml", "zone = \"z1\"").unwrap();
    /// assert_eq!(document.root().string("zone").as_deref(), Some("z1"));
    /// ```
    pub fn root(&self) -> TableReader<'_> {
        TableReader::new(self, self.root.get_ref(), String::new(), self.root.span())
    }

    /// Finishes reading; keys that were never read become findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any, or if `value` is `None`.
    ///
    /// ```
    /// # use monsoonspread_model::toml_check::Document;
    /// let document = Document::parse("a.toml", "zoen = 1").unwrap();
    /// let findings = document.finish(Some(())).unwrap_err();
    /// assert_eq!(findings.to_string(), "a.toml:1: zoen: is not a known key");
    /// ```
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Findings> {
        self.report_unread(self.root.get_ref(), "");
        let findings = self.findings.into_inner();
        match value {
            Some(value) if findings.is_empty() => Ok(value),
            _ => Err(Findings::new(&self.file, findings)),
        }
    }

    pub(super) fn add(&self, span: &Range<usize>, key: &str, message: &str) {
        self.findings.borrow_mut().push(Finding {
            line: line_of(self.text, span.start),
            key: key.to_owned(),
            message: message.to_owned(),
        });
    }

    pub(super) fn mark_read(&self, key: &str) {
        self.read_keys.borrow_mut().insert(key.to_owned());
    }

    fn report_unread(&self, table: &DeTable<'_>, path: &str) {
        for (key, value) in table {
            let path = join_key(path, key.get_ref());
            if !self.read_keys.borrow().contains(&path) {
                self.add(&key.span(), &path, "is not a known key");
                continue;
            }
            self.report_unread_inside(value.get_ref(), &path);
        }
    }

    fn report_unread_inside(&self, value: &DeValue<'_>, path: &str) {
        match value {
            DeValue::Table(table) => self.report_unread(table, path),
            DeValue::Array(items) => items.iter().enumerate().for_each(|(index, item)| {
                self.report_unread_inside(item.get_ref(), &join_index(path, index));
            }),
            _ => {}
        }
    }
}

/// Appends `key` to a dotted path.
pub(super) fn join_key(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

/// Appends an array index to a dotted path.
pub(super) fn join_index(path: &str, index: usize) -> String {
    format!("{path}[{index}]")
}

fn syntax_finding(text: &str, error: &toml::de::Error) -> Finding {
    let start = error.span().map_or(0, |span| span.start);
    Finding {
        line: line_of(text, start),
        key: String::new(),
        message: error.message().to_owned(),
    }
}

fn line_of(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}
