//! Reading one table of a workload file.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::Findings;

/// One table; what can't be read is added to the findings and replaced by a valid value.
pub struct Section<'a> {
    path: String,
    offset: usize,
    table: Option<&'a DeTable<'a>>,
    seen: RefCell<BTreeSet<&'static str>>,
    findings: &'a Findings<'a>,
}

impl<'a> Section<'a> {
    /// Starts at the root table of a file.
    pub fn new(table: &'a DeTable<'a>, findings: &'a Findings<'a>) -> Self {
        Self {
            path: String::new(),
            offset: 0,
            table: Some(table),
            seen: RefCell::default(),
            findings,
        }
    }

    /// A number within `range`.
    pub fn number(&self, key: &'static str, range: RangeInclusive<f64>) -> f64 {
        let value = self.value(key).and_then(|value| match value.get_ref() {
            DeValue::Float(float) => self.parsed(key, value, float.as_str().parse().ok()),
            DeValue::Integer(whole) => self.parsed(key, value, whole.as_str().parse().ok()),
            _ => self.wrong_type(key, value, "a number"),
        });
        self.in_range(key, value, range)
    }

    /// A whole number within `range`.
    pub fn whole(&self, key: &'static str, range: RangeInclusive<u64>) -> u64 {
        let value = self.value(key).and_then(|value| match value.get_ref() {
            DeValue::Integer(whole) => self.parsed(key, value, whole.as_str().parse().ok()),
            _ => self.wrong_type(key, value, "a whole number"),
        });
        self.in_range(key, value, range)
    }

    /// A text that is not empty.
    pub fn text(&self, key: &'static str) -> String {
        let text = self.value(key).and_then(|value| match value.get_ref() {
            DeValue::String(text) if !text.is_empty() => Some(text.to_string()),
            _ => self.wrong_type(key, value, "a text that is not empty"),
        });
        text.unwrap_or_default()
    }

    /// A list of texts with at least one.
    pub fn texts(&self, key: &'static str) -> Vec<String> {
        let texts = self.value(key).and_then(|value| {
            let texts: Option<Vec<String>> = value
                .get_ref()
                .as_array()
                .filter(|array| !array.is_empty())
                .and_then(|array| array.iter().map(text_of).collect());
            texts.or_else(|| self.wrong_type(key, value, "a list of texts"))
        });
        texts.unwrap_or_default()
    }

    /// A table under this one.
    pub fn section(&self, key: &'static str) -> Section<'a> {
        match self.value(key) {
            None => self.below(key, self.offset, None),
            Some(value) => {
                let table = value.get_ref().as_table();
                if table.is_none() {
                    self.add(value.span().start, key, "must be a table");
                }
                self.below(key, value.span().start, table)
            }
        }
    }

    /// The tables of a list under this one, which may be absent.
    pub fn sections(&self, key: &'static str) -> Vec<Section<'a>> {
        let Some(value) = self.find(key) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.add(value.span().start, key, "must be a list of tables");
            return Vec::new();
        };
        array
            .iter()
            .map(|item| self.below(key, item.span().start, item.get_ref().as_table()))
            .collect()
    }

    /// Adds a finding about `key`.
    pub fn fault(&self, key: &'static str, message: impl Into<String>) {
        let offset = self
            .find(key)
            .map_or(self.offset, |value| value.span().start);
        self.add(offset, key, message);
    }

    /// Reports every key that was not read.
    pub fn finish(self) {
        let seen = self.seen.borrow();
        for key in self.table.iter().flat_map(|table| table.keys()) {
            let name: &str = key.get_ref();
            if !seen.contains(name) {
                self.add(key.span().start, name, "is not a known key");
            }
        }
    }

    fn below(&self, key: &str, offset: usize, table: Option<&'a DeTable<'a>>) -> Section<'a> {
        Section {
            path: self.path_of(key),
            offset,
            table,
            seen: RefCell::default(),
            findings: self.findings,
        }
    }

    fn find(&self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.seen.borrow_mut().insert(key);
        self.table.and_then(|table| table.get(key))
    }

    fn value(&self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        let value = self.find(key);
        if value.is_none() {
            self.add(self.offset, key, "is missing");
        }
        value
    }

    fn in_range<T: Copy + PartialOrd + std::fmt::Display>(
        &self,
        key: &'static str,
        value: Option<T>,
        range: RangeInclusive<T>,
    ) -> T {
        let Some(value) = value else {
            return *range.start();
        };
        if range.contains(&value) {
            return value;
        }
        let message = format!("must be {} to {}", range.start(), range.end());
        self.fault(key, message);
        *range.start()
    }

    fn parsed<T>(&self, key: &str, value: &Spanned<DeValue<'_>>, parsed: Option<T>) -> Option<T> {
        parsed.or_else(|| self.wrong_type(key, value, "a decimal number"))
    }

    fn wrong_type<T>(&self, key: &str, value: &Spanned<DeValue<'_>>, wanted: &str) -> Option<T> {
        self.add(value.span().start, key, format!("must be {wanted}"));
        None
    }

    fn add(&self, offset: usize, key: &str, message: impl Into<String>) {
        self.findings.add(offset, &self.path_of(key), message);
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }
}

fn text_of(value: &Spanned<DeValue<'_>>) -> Option<String> {
    value.get_ref().as_str().map(str::to_owned)
}
