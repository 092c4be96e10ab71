//! Reading of one TOML table with findings in place of errors.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::Finding;

/// Collects findings over a whole file.
pub(super) struct FindingSink<'t> {
    file: &'t str,
    text: &'t str,
    findings: RefCell<Vec<Finding>>,
}

impl<'t> FindingSink<'t> {
    /// Collects findings about `text`, which was read from `file`.
    pub(super) fn new(file: &'t str, text: &'t str) -> Self {
        Self {
            file,
            text,
            findings: RefCell::new(Vec::new()),
        }
    }

    /// Adds a finding at a byte range of the text.
    pub(super) fn add(&self, span: Range<usize>, key: &str, message: impl Into<String>) {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        self.findings.borrow_mut().push(Finding {
            file: self.file.to_owned(),
            line,
            key: key.to_owned(),
            message: message.into(),
        });
    }

    /// Everything collected, in the order of lines.
    pub(super) fn into_findings(self) -> Vec<Finding> {
        let mut findings = self.findings.into_inner();
        findings.sort_by_key(|finding| finding.line);
        findings
    }
}

/// One table; reports keys that nobody asked for when it is closed.
pub(super) struct TableReader<'a> {
    sink: &'a FindingSink<'a>,
    prefix: String,
    span: Range<usize>,
    table: Option<&'a DeTable<'a>>,
    known: RefCell<BTreeSet<String>>,
}

impl<'a> TableReader<'a> {
    /// Reads the top table.
    pub(super) fn root(sink: &'a FindingSink<'a>, table: &'a DeTable<'a>) -> Self {
        Self::new(sink, String::new(), 0..0, Some(table))
    }

    fn new(
        sink: &'a FindingSink<'a>,
        prefix: String,
        span: Range<usize>,
        table: Option<&'a DeTable<'a>>,
    ) -> Self {
        Self {
            sink,
            prefix,
            span,
            table,
            known: RefCell::default(),
        }
    }

    /// Reads a table within this one; an absent one reads as empty.
    pub(super) fn table(&self, key: &str) -> TableReader<'a> {
        let prefix = format!("{}{key}.", self.prefix);
        let Some(value) = self.get(key) else {
            return Self::new(self.sink, prefix, self.span.clone(), None);
        };
        let table = value.get_ref().as_table();
        if table.is_none() {
            self.wrong(key, value, "must be a table");
        }
        Self::new(self.sink, prefix, value.span(), table)
    }

    /// Reads a value with `read`; `None` when absent or wrong.
    pub(super) fn optional<T>(
        &self,
        key: &str,
        read: impl Fn(&DeValue<'_>) -> Result<T, String>,
    ) -> Option<T> {
        let value = self.get(key)?;
        read(value.get_ref())
            .map_err(|message| self.wrong(key, value, &message))
            .ok()
    }

    /// Reads a value that must be there; `fallback` stands in after a finding.
    pub(super) fn required<T>(
        &self,
        key: &str,
        fallback: T,
        read: impl Fn(&DeValue<'_>) -> Result<T, String>,
    ) -> T {
        if self.get(key).is_none() {
            let key = format!("{}{key}", self.prefix);
            self.sink.add(self.span.clone(), &key, "is missing");
        }
        self.optional(key, read).unwrap_or(fallback)
    }

    /// Adds a finding about a key of this table.
    pub(super) fn finding(&self, key: &str, message: &str) {
        let span = self
            .get(key)
            .map_or_else(|| self.span.clone(), Spanned::span);
        let key = format!("{}{key}", self.prefix);
        self.sink.add(span, &key, message);
    }

    /// Reports every key that was not asked for.
    pub(super) fn close(self) {
        let known = self.known.borrow();
        let unknown = self
            .table
            .into_iter()
            .flatten()
            .filter(|(key, _)| !known.contains(key.get_ref().as_ref()));
        for (key, _) in unknown {
            let name = format!("{}{}", self.prefix, key.get_ref());
            self.sink.add(key.span(), &name, "is not a known key");
        }
    }

    fn get(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known.borrow_mut().insert(key.to_owned());
        self.table?.get(key)
    }

    fn wrong(&self, key: &str, value: &Spanned<DeValue<'_>>, message: &str) {
        let key = format!("{}{key}", self.prefix);
        self.sink.add(value.span(), &key, message);
    }
}

/// Reads a text that is not empty.
pub(super) fn text(value: &DeValue<'_>) -> Result<String, String> {
    value
        .as_str()
        .filter(|text| !text.is_empty())
        .map(str::to_owned)
        .ok_or_else(|| "must be a text that is not empty".to_owned())
}

/// Reads an IP address with a port.
pub(super) fn address(value: &DeValue<'_>) -> Result<SocketAddr, String> {
    let text = text(value)?;
    text.parse().map_err(|_| {
        format!("\"{text}\" is not an IP address with a port, such as \"10.0.0.7:8080\"")
    })
}

/// Reads a whole number above 0.
pub(super) fn count(value: &DeValue<'_>) -> Result<u64, String> {
    value
        .as_integer()
        .and_then(|number| u64::from_str_radix(number.as_str(), number.radix()).ok())
        .filter(|number| *number > 0)
        .ok_or_else(|| "must be a whole number above 0".to_owned())
}

/// Reads a number above 0.
pub(super) fn number(value: &DeValue<'_>) -> Result<f64, String> {
    let written = value
        .as_float()
        .map(|number| number.as_str().to_owned())
        .or_else(|| value.as_integer().map(|number| number.as_str().to_owned()));
    written
        .and_then(|written| written.parse::<f64>().ok())
        .filter(|number| number.is_finite() && *number > 0.0)
        .ok_or_else(|| "must be a number above 0".to_owned())
}

/// Reads a list with `read` for each element.
pub(super) fn list<T>(
    read: impl Fn(&DeValue<'_>) -> Result<T, String>,
) -> impl Fn(&DeValue<'_>) -> Result<Vec<T>, String> {
    move |value| {
        let elements = value.as_array().ok_or("must be a list")?;
        elements
            .iter()
            .map(|element| read(element.get_ref()))
            .collect()
    }
}
