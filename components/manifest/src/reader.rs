//! Reading of TOML tables, which collects all their faults.
//!
//! Derived deserialisation would stop at the first fault, so the tables are read key by key.

use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::error::{ManifestError, ManifestFault};

/// A value and its byte range in the text.
#[derive(Debug, Clone)]
pub(crate) struct LocatedValue<T> {
    pub(crate) value: T,
    pub(crate) span: Range<usize>,
}

/// Faults found in a text so far.
#[derive(Debug)]
pub(crate) struct FaultList<'t> {
    text: &'t str,
    errors: Vec<ManifestError>,
}

impl<'t> FaultList<'t> {
    pub(crate) fn new(text: &'t str) -> Self {
        Self {
            text,
            errors: Vec::new(),
        }
    }

    /// Adds a fault of a byte range of the text.
    pub(crate) fn push(&mut self, span: &Range<usize>, fault: ManifestFault) {
        self.errors
            .push(ManifestError::at(self.text, span.clone(), fault));
    }

    /// Faults in the order of the text.
    pub(crate) fn into_errors(mut self) -> Vec<ManifestError> {
        self.errors.sort_by_key(|error| (error.line, error.column));
        self.errors
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }
}

/// Reader of one table of the text.
pub(crate) struct TableReader<'a, 'i> {
    table: &'a DeTable<'i>,
    span: Range<usize>,
}

impl<'a, 'i> TableReader<'a, 'i> {
    pub(crate) fn new(table: &'a DeTable<'i>, span: Range<usize>) -> Self {
        Self { table, span }
    }

    /// Reports keys of the table that are not known.
    pub(crate) fn check_keys(&self, known: &[&str], faults: &mut FaultList<'_>) {
        for key in self.table.keys() {
            if !known.contains(&key.get_ref().as_ref()) {
                faults.push(&key.span(), ManifestFault::UnknownKey);
            }
        }
    }

    fn get(&self, key: &str) -> Option<&'a Spanned<DeValue<'i>>> {
        let mut entries = self.table.iter();
        entries
            .find(|(name, _)| name.get_ref().as_ref() == key)
            .map(|(_, value)| value)
    }

    /// Reads a required string.
    pub(crate) fn required_string(
        &self,
        key: &'static str,
        faults: &mut FaultList<'_>,
    ) -> Option<LocatedValue<String>> {
        if self.get(key).is_none() {
            faults.push(&self.span, ManifestFault::MissingKey(key));
        }
        self.string(key, faults)
    }

    fn string(&self, key: &str, faults: &mut FaultList<'_>) -> Option<LocatedValue<String>> {
        let value = self.get(key)?;
        let string = string_value(value);
        if string.is_none() {
            faults.push(&value.span(), ManifestFault::WrongType("a string"));
        }
        string
    }

    /// Reads an optional list of strings.
    pub(crate) fn string_list(
        &self,
        key: &str,
        faults: &mut FaultList<'_>,
    ) -> Vec<LocatedValue<String>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            faults.push(&value.span(), ManifestFault::WrongType("a list of strings"));
            return Vec::new();
        };
        let mut strings = Vec::new();
        for item in items.iter() {
            match string_value(item) {
                Some(string) => strings.push(string),
                None => faults.push(&item.span(), ManifestFault::WrongType("a string")),
            }
        }
        strings
    }

    /// Reads an optional integer.
    pub(crate) fn integer(
        &self,
        key: &str,
        faults: &mut FaultList<'_>,
    ) -> Option<LocatedValue<i64>> {
        let value = self.get(key)?;
        let DeValue::Integer(number) = value.get_ref() else {
            faults.push(&value.span(), ManifestFault::WrongType("a whole number"));
            return None;
        };
        let parsed = i64::from_str_radix(number.as_str(), number.radix());
        if parsed.is_err() {
            faults.push(&value.span(), ManifestFault::WrongType("a whole number"));
        }
        let value_span = value.span();
        parsed.ok().map(|value| LocatedValue {
            value,
            span: value_span,
        })
    }

    /// Reads an optional integer or floating-point number.
    pub(crate) fn number(
        &self,
        key: &str,
        faults: &mut FaultList<'_>,
    ) -> Option<LocatedValue<f64>> {
        let value = self.get(key)?;
        if let DeValue::Float(number) = value.get_ref() {
            let span = value.span();
            return match number.as_str().parse() {
                Ok(value) => Some(LocatedValue { value, span }),
                Err(_) => {
                    faults.push(&span, ManifestFault::WrongType("a number"));
                    None
                }
            };
        }
        self.integer(key, faults).map(|number| LocatedValue {
            value: number.value as f64,
            span: number.span,
        })
    }

    /// Reads a required Boolean.
    pub(crate) fn required_bool(
        &self,
        key: &'static str,
        faults: &mut FaultList<'_>,
    ) -> Option<bool> {
        match self.get(key) {
            None => faults.push(&self.span, ManifestFault::MissingKey(key)),
            Some(value) => match value.get_ref() {
                DeValue::Boolean(flag) => return Some(*flag),
                _ => faults.push(&value.span(), ManifestFault::WrongType("true or false")),
            },
        }
        None
    }

    /// Reads an optional array of tables.
    pub(crate) fn tables(&self, key: &str, faults: &mut FaultList<'_>) -> Vec<TableReader<'a, 'i>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            faults.push(&value.span(), ManifestFault::WrongType("a list of tables"));
            return Vec::new();
        };
        let mut tables = Vec::new();
        for item in items.iter() {
            match item.get_ref() {
                DeValue::Table(table) => tables.push(TableReader::new(table, item.span())),
                _ => faults.push(&item.span(), ManifestFault::WrongType("a table")),
            }
        }
        tables
    }
}

fn string_value(value: &Spanned<DeValue<'_>>) -> Option<LocatedValue<String>> {
    match value.get_ref() {
        DeValue::String(text) => Some(LocatedValue {
            value: text.to_string(),
            span: value.span(),
        }),
        _ => None,
    }
}
