//! Typed access to the values of a table.

use std::ops::{Range, RangeInclusive};
use std::str::FromStr;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::Document;
use super::document::{join_index, join_key};

/// Reads the values of one table. Invalid values are recorded as findings of the document, and
/// keys that are never read are reported as unknown.
#[derive(Clone)]
pub struct TableReader<'d> {
    document: &'d Document<'d>,
    table: &'d DeTable<'d>,
    path: String,
    span: Range<usize>,
}

impl<'d> TableReader<'d> {
    pub(super) fn new(
        document: &'d Document<'d>,
        table: &'d DeTable<'d>,
        path: String,
        span: Range<usize>,
    ) -> Self {
        Self {
            document,
            table,
            path,
            span,
        }
    }

    /// Records a finding at `key`, or at the start of the table if it has no such key.
    pub fn finding(&self, key: &str, message: &str) {
        let span = self
            .table
            .get(key)
            .map_or_else(|| self.span.clone(), Spanned::span);
        self.document
            .add(&span, &join_key(&self.path, key), message);
    }

    /// Returns whether the table contains `key`; doesn't count as reading it.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Reads a required string.
    pub fn string(&self, key: &str) -> Option<String> {
        self.require(key)?;
        self.optional_string(key)
    }

    /// Reads a string; returns `default` if it is missing or invalid.
    pub fn string_or(&self, key: &str, default: &str) -> String {
        self.optional_string(key)
            .unwrap_or_else(|| default.to_owned())
    }

    /// Reads an optional string.
    pub fn optional_string(&self, key: &str) -> Option<String> {
        match self.value(key)?.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => self.reject(key, "must be a string"),
        }
    }

    /// Reads a required integer within `range`.
    pub fn integer(&self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        self.require(key)?;
        self.optional_integer(key, range)
    }

    /// Reads an integer within `range`; returns `default` if it is missing or invalid.
    pub fn integer_or(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        self.optional_integer(key, range).unwrap_or(default)
    }

    /// Reads an optional integer within `range`.
    pub fn optional_integer(&self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let DeValue::Integer(integer) = self.value(key)?.get_ref() else {
            return self.reject(key, "must be a whole number");
        };
        let value = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        match value.filter(|value| range.contains(value)) {
            Some(value) => Some(value),
            None => self.reject(
                key,
                &format!("must be from {} to {}", range.start(), range.end()),
            ),
        }
    }

    /// Reads a required number within `range`.
    pub fn float(&self, key: &str, range: RangeInclusive<f64>) -> Option<f64> {
        self.require(key)?;
        self.optional_float(key, range)
    }

    /// Reads a number within `range`; returns `default` if it is missing or invalid.
    pub fn float_or(&self, key: &str, range: RangeInclusive<f64>, default: f64) -> f64 {
        self.optional_float(key, range).unwrap_or(default)
    }

    /// Reads an optional number within `range`.
    pub fn optional_float(&self, key: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let value = match self.value(key)?.get_ref() {
            DeValue::Float(float) => float.as_str().parse::<f64>().ok(),
            DeValue::Integer(integer) => integer.as_str().parse::<f64>().ok(),
            _ => return self.reject(key, "must be a number"),
        };
        match value.filter(|value| range.contains(value)) {
            Some(value) => Some(value),
            None => self.reject(
                key,
                &format!("must be from {} to {}", range.start(), range.end()),
            ),
        }
    }

    /// Reads a boolean; returns `default` if it is missing or invalid.
    pub fn boolean_or(&self, key: &str, default: bool) -> bool {
        match self.value(key).map(Spanned::get_ref) {
            None => default,
            Some(DeValue::Boolean(value)) => *value,
            Some(_) => self.reject(key, "must be true or false").unwrap_or(default),
        }
    }

    /// Reads a required string and parses it as `T`; `what` completes the finding `"..." is not`.
    pub fn parsed<T: FromStr>(&self, key: &str, what: &str) -> Option<T> {
        self.require(key)?;
        self.optional_parsed(key, what)
    }

    /// Reads a string and parses it as `T`; returns `default` if it is missing or invalid.
    pub fn parsed_or<T: FromStr>(&self, key: &str, what: &str, default: T) -> T {
        self.optional_parsed(key, what).unwrap_or(default)
    }

    /// Reads an optional string and parses it as `T`.
    pub fn optional_parsed<T: FromStr>(&self, key: &str, what: &str) -> Option<T> {
        let text = self.optional_string(key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => self.reject(key, &format!("\"{text}\" is not {what}")),
        }
    }

    /// Reads a list of strings; empty if the key is missing.
    pub fn strings(&self, key: &str) -> Vec<String> {
        self.items(key, "must be a list of strings", |value| match value {
            DeValue::String(text) => Some(text.to_string()),
            _ => None,
        })
    }

    /// Reads a list of integers within `range`; empty if the key is missing.
    pub fn integers(&self, key: &str, range: RangeInclusive<u64>) -> Vec<u64> {
        let message = format!(
            "must be a list of whole numbers from {} to {}",
            range.start(),
            range.end()
        );
        self.items(key, &message, |value| match value {
            DeValue::Integer(integer) => u64::from_str_radix(integer.as_str(), integer.radix())
                .ok()
                .filter(|value| range.contains(value)),
            _ => None,
        })
    }

    /// Reads a list of strings and parses each as `T`; empty if the key is missing.
    pub fn parsed_list<T: FromStr>(&self, key: &str, what: &str) -> Vec<T> {
        let mut values = Vec::new();
        for text in self.strings(key) {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(_) => self.finding(key, &format!("\"{text}\" is not {what}")),
            }
        }
        values
    }

    /// Returns a reader of an optional nested table.
    pub fn table(&self, key: &str) -> Option<TableReader<'d>> {
        let value = self.value(key)?;
        match value.get_ref() {
            DeValue::Table(table) => Some(self.nested(table, join_key(&self.path, key), value)),
            _ => self.reject(key, "must be a table"),
        }
    }

    /// Returns readers of an array of tables; empty if the key is missing.
    pub fn tables(&self, key: &str) -> Vec<TableReader<'d>> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            self.finding(key, "must be an array of tables");
            return Vec::new();
        };
        let path = join_key(&self.path, key);
        let mut tables = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match item.get_ref() {
                DeValue::Table(table) => {
                    tables.push(self.nested(table, join_index(&path, index), item))
                }
                _ => self.finding(key, "must be an array of tables"),
            }
        }
        tables
    }

    /// Returns the names and readers of the tables within a nested table; empty if the key is
    /// missing.
    pub fn entries(&self, key: &str) -> Vec<(String, TableReader<'d>)> {
        let Some(reader) = self.table(key) else {
            return Vec::new();
        };
        let names: Vec<String> = reader
            .table
            .keys()
            .map(|name| name.get_ref().to_string())
            .collect();
        names
            .into_iter()
            .filter_map(|name| reader.table(&name).map(|entry| (name, entry)))
            .collect()
    }

    fn require(&self, key: &str) -> Option<()> {
        if self.table.contains_key(key) {
            return Some(());
        }
        self.reject(key, "is missing")
    }

    fn value(&self, key: &str) -> Option<&'d Spanned<DeValue<'d>>> {
        let value = self.table.get(key)?;
        self.document.mark_read(&join_key(&self.path, key));
        Some(value)
    }

    fn items<T>(
        &self,
        key: &str,
        message: &str,
        read: impl Fn(&DeValue<'_>) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            self.finding(key, message);
            return Vec::new();
        };
        let values: Vec<T> = items
            .iter()
            .filter_map(|item| read(item.get_ref()))
            .collect();
        if values.len() < items.len() {
            self.finding(key, message);
        }
        values
    }

    fn nested(
        &self,
        table: &'d DeTable<'d>,
        path: String,
        value: &Spanned<DeValue<'_>>,
    ) -> TableReader<'d> {
        TableReader::new(self.document, table, path, value.span())
    }

    fn reject<T>(&self, key: &str, message: &str) -> Option<T> {
        self.finding(key, message);
        None
    }
}
