//! Reading of TOML tables that collects every fault.
//!
//! Derived deserialisation stops at the first fault, so the tables are read key by key.

use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::error::{ManifestError, ManifestFault};

/// A value and its place in the text.
#[derive(Debug, Clone)]
pub(crate) struct Placed<T> {
    /// The value.
    pub(crate) value: T,
    /// Its bytes in the text.
    pub(crate) span: Range<usize>,
}

/// Faults found so far.
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

    /// Adds a fault at a place.
    pub(crate) fn push(&mut self, span: &Range<usize>, fault: ManifestFault) {
        self.errors
            .push(ManifestError::at(self.text, span.clone(), fault));
    }

    /// The faults in the order of the text.
    pub(crate) fn into_errors(mut self) -> Vec<ManifestError> {
        self.errors.sort_by_key(|error| (error.line, error.column));
        self.errors
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }
}

/// One table of the text.
pub(crate) struct TableReader<'a, 'i> {
    table: &'a DeTable<'i>,
    span: Range<usize>,
}

impl<'a, 'i> TableReader<'a, 'i> {
    pub(crate) fn new(table: &'a DeTable<'i>, span: Range<usize>) -> Self {
        Self { table, span }
    }

    /// Reports the keys that are not listed.
    pub(crate) fn check_keys(&self, known: &[&str], faults: &mut FaultList<'_>) {
        for key in self.table.keys() {
            if !known.contains(&key.get_ref().as_ref()) {
                faults.push(&key.span(), ManifestFault::UnknownKey);
            }
        }
    }

    fn get(&self, key: &str) -> Option<&'a Spanned<DeValue<'i>>> {
        let mut pairs = self.table.iter();
        pairs
            .find(|(name, _)| name.get_ref().as_ref() == key)
            .map(|(_, value)| value)
    }

    /// Reads a text that must be there.
    pub(crate) fn required_text(
        &self,
        key: &'static str,
        faults: &mut FaultList<'_>,
    ) -> Option<Placed<String>> {
        if self.get(key).is_none() {
            faults.push(&self.span, ManifestFault::MissingKey(key));
        }
        self.text(key, faults)
    }

    fn text(&self, key: &str, faults: &mut FaultList<'_>) -> Option<Placed<String>> {
        let value = self.get(key)?;
        let text = text_of(value);
        if text.is_none() {
            faults.push(&value.span(), ManifestFault::WrongType("a string"));
        }
        text
    }

    /// Reads a list of texts.
    pub(crate) fn texts(&self, key: &str, faults: &mut FaultList<'_>) -> Vec<Placed<String>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            faults.push(&value.span(), ManifestFault::WrongType("a list of strings"));
            return Vec::new();
        };
        let mut texts = Vec::new();
        for item in items.iter() {
            match text_of(item) {
                Some(text) => texts.push(text),
                None => faults.push(&item.span(), ManifestFault::WrongType("a string")),
            }
        }
        texts
    }

    /// Reads a whole number.
    pub(crate) fn integer(&self, key: &str, faults: &mut FaultList<'_>) -> Option<Placed<i64>> {
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
        parsed.ok().map(|value| Placed {
            value,
            span: value_span,
        })
    }

    /// Reads a number with or without a fraction.
    pub(crate) fn number(&self, key: &str, faults: &mut FaultList<'_>) -> Option<Placed<f64>> {
        let value = self.get(key)?;
        if let DeValue::Float(number) = value.get_ref() {
            let span = value.span();
            return match number.as_str().parse() {
                Ok(value) => Some(Placed { value, span }),
                Err(_) => {
                    faults.push(&span, ManifestFault::WrongType("a number"));
                    None
                }
            };
        }
        self.integer(key, faults).map(|number| Placed {
            value: number.value as f64,
            span: number.span,
        })
    }

    /// Reads a truth value that must be there.
    pub(crate) fn required_flag(
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

    /// Reads a list of tables.
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

fn text_of(value: &Spanned<DeValue<'_>>) -> Option<Placed<String>> {
    match value.get_ref() {
        DeValue::String(text) => Some(Placed {
            value: text.to_string(),
            span: value.span(),
        }),
        _ => None,
    }
}
