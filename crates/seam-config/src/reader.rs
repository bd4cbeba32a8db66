//! Reads TOML tables as the schema defines them and collects diagnostics.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::error::{Diagnostic, DiagnosticKind, Diagnostics, nearest};
use crate::schema::{Field, FieldType, Section};

/// The text of a file and the diagnostics for it.
#[derive(Debug)]
pub struct ConfigFile<'a> {
    path: &'a Path,
    text: &'a str,
    /// Diagnostics found so far.
    pub diagnostics: Diagnostics,
}

impl<'a> ConfigFile<'a> {
    /// Creates a file without diagnostics.
    #[must_use]
    pub fn new(path: &'a Path, text: &'a str) -> Self {
        Self {
            path,
            text,
            diagnostics: Diagnostics::default(),
        }
    }

    /// Parses the text as TOML. Reports a syntax error and returns `None` if that fails.
    pub fn parse(&mut self) -> Option<Spanned<DeTable<'a>>> {
        match DeTable::parse(self.text) {
            Ok(table) => Some(table),
            Err(error) => {
                let span = error.span().unwrap_or_default();
                let message = error.message().to_owned();
                self.report(span.start, DiagnosticKind::Syntax { message });
                None
            }
        }
    }

    /// Returns the line at a byte offset, from 1.
    #[must_use]
    pub fn line(&self, offset: usize) -> usize {
        let before = self.text.get(..offset).unwrap_or(self.text);
        before.matches('\n').count() + 1
    }

    /// Adds a diagnostic of a required value at a byte offset.
    pub fn report(&mut self, offset: usize, kind: DiagnosticKind) {
        self.push(offset, kind, false);
    }

    /// Adds a diagnostic of an optional value at a byte offset.
    pub fn report_optional(&mut self, offset: usize, kind: DiagnosticKind) {
        self.push(offset, kind, true);
    }

    fn push(&mut self, offset: usize, kind: DiagnosticKind, optional: bool) {
        let line = self.line(offset);
        self.diagnostics.0.push(Diagnostic {
            file: self.path.to_owned(),
            line,
            optional,
            kind,
        });
    }

    /// Returns `path:line` of a byte offset.
    #[must_use]
    pub fn location(&self, offset: usize) -> String {
        format!("{}:{}", self.path.display(), self.line(offset))
    }
}

/// A TOML table and the section of the schema that defines its fields.
pub struct Table<'t, 'd> {
    table: &'t DeTable<'d>,
    section: &'static Section,
    name: String,
    start: usize,
}

/// An entry of a table whose keys the user chooses, such as `[service.NAME]`.
pub struct Entry<'t, 'd> {
    /// Key.
    pub name: String,
    /// Byte offset of the key.
    pub start: usize,
    value: &'t Spanned<DeValue<'d>>,
}

fn describe_value(value: &DeValue) -> String {
    match value {
        DeValue::String(text) => format!("the text {text:?}"),
        DeValue::Integer(number) => format!("the whole number {number}"),
        DeValue::Float(number) => format!("the number {number}"),
        DeValue::Boolean(flag) => format!("{flag}"),
        DeValue::Datetime(_) => "a date".to_owned(),
        DeValue::Array(_) => "a list".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}

/// Describes a type and its range in diagnostics and in the reference page.
#[must_use]
pub fn describe_type(field_type: FieldType) -> String {
    match field_type {
        FieldType::String => "a text".to_owned(),
        FieldType::Integer(from, to) => format!("a whole number from {from} to {to}"),
        FieldType::Float(from, to) => format!("a number from {from} to {to}"),
        FieldType::Rounded(from, to) => format!("a number from {from} to {to}, rounded down"),
        FieldType::Boolean => "true or false".to_owned(),
        FieldType::Strings => "a list of texts".to_owned(),
        FieldType::Integers(from, to) => format!("a list of whole numbers from {from} to {to}"),
        FieldType::Address => "an IP address with a port".to_owned(),
        FieldType::Map => "a table".to_owned(),
        FieldType::Tables => "a list of tables".to_owned(),
    }
}

fn parse_integer(value: &DeValue, from: i64, to: i64) -> Option<i64> {
    let DeValue::Integer(number) = value else {
        return None;
    };
    i64::from_str_radix(number.as_str(), number.radix())
        .ok()
        .filter(|number| (from..=to).contains(number))
}

fn parse_number(value: &DeValue) -> Option<f64> {
    let number = match value {
        DeValue::Integer(number) => number.as_str().parse::<f64>().ok()?,
        DeValue::Float(number) => number.as_str().parse::<f64>().ok()?,
        _ => return None,
    };
    (!number.is_nan()).then_some(number)
}

fn parse_strings(value: &DeValue) -> Option<Vec<(String, Range<usize>)>> {
    let DeValue::Array(list) = value else {
        return None;
    };
    list.iter()
        .map(|item| match item.get_ref() {
            DeValue::String(text) => Some((text.to_string(), item.span())),
            _ => None,
        })
        .collect()
}

/// A string and its location in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocatedText {
    /// The string.
    pub text: String,
    /// Byte offset in the file.
    pub start: usize,
}

impl<'t, 'd> Table<'t, 'd> {
    /// Wraps a table and reports the fields that its section does not define.
    pub fn open(
        file: &mut ConfigFile,
        table: &'t DeTable<'d>,
        section: &'static Section,
        name: impl Into<String>,
        start: usize,
    ) -> Self {
        let name = name.into();
        let known: BTreeSet<&str> = section.fields.iter().map(|field| field.name).collect();
        for key in table.keys() {
            let field = key.get_ref().as_ref();
            if !known.contains(field) {
                let kind = DiagnosticKind::UnknownField {
                    field: field.to_owned(),
                    section: name.clone(),
                    nearest: nearest(field, known.iter().copied()),
                };
                file.report_optional(key.span().start, kind);
            }
        }
        Self {
            table,
            section,
            name,
            start,
        }
    }

    /// Returns the name that diagnostics use for the section.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the byte offset of the table.
    #[must_use]
    pub fn start(&self) -> usize {
        self.start
    }

    fn field(&self, name: &str) -> &'static Field {
        self.section
            .fields
            .iter()
            .find(|field| field.name == name)
            .expect("callers pass only field names of the schema")
    }

    fn get<T>(
        &self,
        file: &mut ConfigFile,
        name: &str,
        read: impl FnOnce(&'t DeValue<'d>) -> Option<T>,
    ) -> Option<T> {
        let field = self.field(name);
        let Some(value) = self.table.get(name) else {
            if field.default.is_none() {
                let kind = DiagnosticKind::MissingField {
                    field: name.to_owned(),
                    section: self.name.clone(),
                    expected: describe_type(field.field_type),
                };
                file.report(self.start, kind);
            }
            return None;
        };
        let found = read(value.get_ref());
        if found.is_none() {
            self.report_value(
                file,
                name,
                &describe_value(value.get_ref()),
                &describe_type(field.field_type),
            );
        }
        found
    }

    /// Reports an invalid value of a field.
    pub fn report_value(&self, file: &mut ConfigFile, name: &str, found: &str, expected: &str) {
        let start = self.offset_of(name);
        let kind = DiagnosticKind::InvalidValue {
            field: name.to_owned(),
            section: self.name.clone(),
            found: found.to_owned(),
            expected: expected.to_owned(),
        };
        if self.field(name).default.is_some() {
            file.report_optional(start, kind);
        } else {
            file.report(start, kind);
        }
    }

    /// Returns the byte offset of a field's value, or of the table if the field is absent.
    #[must_use]
    pub fn offset_of(&self, name: &str) -> usize {
        self.table
            .get(name)
            .map_or(self.start, |value| value.span().start)
    }

    /// Reads a string.
    pub fn string(&self, file: &mut ConfigFile, name: &str) -> Option<LocatedText> {
        let start = self.offset_of(name);
        let text = self.get(file, name, |value| match value {
            DeValue::String(text) => Some(text.to_string()),
            _ => None,
        })?;
        Some(LocatedText { text, start })
    }

    /// Reads a string that must be one of `known`.
    pub fn one_of(&self, file: &mut ConfigFile, name: &str, known: &[&str]) -> Option<String> {
        let located = self.string(file, name)?;
        if known.contains(&located.text.as_str()) {
            return Some(located.text);
        }
        let found = format!("the text {:?}", located.text);
        self.report_value(file, name, &found, &known.join(" or "));
        None
    }

    /// Reads an integer. Returns the default if it is absent or invalid.
    pub fn integer(&self, file: &mut ConfigFile, name: &str) -> u64 {
        let field = self.field(name);
        let FieldType::Integer(from, to) = field.field_type else {
            unreachable!("{name} is not an integer in the schema");
        };
        let default = || field.default.and_then(|text| text.parse().ok());
        self.get(file, name, |value| parse_integer(value, from, to))
            .or_else(default)
            .unwrap_or(from) as u64
    }

    /// Reads a number. Returns the default if it is absent or no number, and the nearest bound, with
    /// a diagnostic, if it is out of range.
    pub fn float(&self, file: &mut ConfigFile, name: &str) -> f64 {
        let field = self.field(name);
        let FieldType::Float(from, to) = field.field_type else {
            unreachable!("{name} is not a number in the schema");
        };
        self.clamped(file, field, from, to)
    }

    /// Reads a number and rounds it down. Absent, invalid and out of range are as for
    /// [`Table::float`]; without a default, the lower bound replaces an invalid value.
    pub fn rounded(&self, file: &mut ConfigFile, name: &str) -> u64 {
        let field = self.field(name);
        let FieldType::Rounded(from, to) = field.field_type else {
            unreachable!("{name} is not a rounded number in the schema");
        };
        self.clamped(file, field, from as f64, to as f64) as u64
    }

    /// Reads a number and rounds it down. Returns `None` without a diagnostic if it is absent.
    pub fn optional_rounded(&self, file: &mut ConfigFile, name: &str) -> Option<u64> {
        self.table.get(name)?;
        Some(self.rounded(file, name))
    }

    fn clamped(&self, file: &mut ConfigFile, field: &'static Field, from: f64, to: f64) -> f64 {
        let Some(number) = self.get(file, field.name, parse_number) else {
            let default = field.default.and_then(|text| text.parse().ok());
            return default.unwrap_or(from);
        };
        if !(from..=to).contains(&number) {
            let found = format!("the number {number}");
            self.report_value(file, field.name, &found, &describe_type(field.field_type));
        }
        number.clamp(from, to)
    }

    /// Reads a boolean. Returns the default if it is absent or invalid.
    pub fn boolean(&self, file: &mut ConfigFile, name: &str) -> bool {
        self.get(file, name, |value| match value {
            DeValue::Boolean(flag) => Some(*flag),
            _ => None,
        })
        .unwrap_or(self.field(name).default == Some("true"))
    }

    /// Reads a list of strings. Returns `None` if it is absent or invalid.
    pub fn strings(&self, file: &mut ConfigFile, name: &str) -> Option<Vec<LocatedText>> {
        let list = self.get(file, name, parse_strings)?;
        Some(
            list.into_iter()
                .map(|(text, span)| LocatedText {
                    text,
                    start: span.start,
                })
                .collect(),
        )
    }

    /// Reads a list of integers. Returns an empty list if it is absent or invalid.
    pub fn integers(&self, file: &mut ConfigFile, name: &str) -> Vec<i64> {
        let FieldType::Integers(from, to) = self.field(name).field_type else {
            unreachable!("{name} is not a list of integers in the schema");
        };
        self.get(file, name, |value| match value {
            DeValue::Array(list) => list
                .iter()
                .map(|item| parse_integer(item.get_ref(), from, to))
                .collect(),
            _ => None,
        })
        .unwrap_or_default()
    }

    /// Reads an IP address with a port.
    pub fn address(&self, file: &mut ConfigFile, name: &str) -> Option<SocketAddr> {
        self.get(file, name, |value| match value {
            DeValue::String(text) => text.parse().ok(),
            _ => None,
        })
    }

    /// Reads a table whose keys the user chooses. Returns its entries.
    pub fn entries(&self, file: &mut ConfigFile, name: &str) -> Vec<Entry<'t, 'd>> {
        let table = self.get(file, name, |value| match value {
            DeValue::Table(table) => Some(table),
            _ => None,
        });
        table.into_iter().flat_map(entries_of).collect()
    }

    /// Reads a table as a section. Returns `None` without a diagnostic if it is absent.
    pub fn optional_table(
        &self,
        file: &mut ConfigFile,
        name: &str,
        section: &'static Section,
    ) -> Option<Table<'t, 'd>> {
        self.table.get(name)?;
        self.table(file, name, section)
    }

    /// Reads a table as a section.
    pub fn table(
        &self,
        file: &mut ConfigFile,
        name: &str,
        section: &'static Section,
    ) -> Option<Table<'t, 'd>> {
        let start = self.offset_of(name);
        let table = self.get(file, name, |value| match value {
            DeValue::Table(table) => Some(table),
            _ => None,
        })?;
        Some(Table::open(file, table, section, section.header, start))
    }

    /// Reads a list of tables, each as the same section.
    pub fn tables(
        &self,
        file: &mut ConfigFile,
        name: &str,
        section: &'static Section,
    ) -> Vec<Table<'t, 'd>> {
        let list = self.get(file, name, |value| match value {
            DeValue::Array(list) => Some(list.iter().collect::<Vec<_>>()),
            _ => None,
        });
        let mut tables = Vec::new();
        for item in list.into_iter().flatten() {
            if let DeValue::Table(table) = item.get_ref() {
                let start = item.span().start;
                tables.push(Table::open(file, table, section, section.header, start));
            } else {
                self.report_value(
                    file,
                    name,
                    &describe_value(item.get_ref()),
                    "a list of tables",
                );
            }
        }
        tables
    }
}

fn entries_of<'t, 'd>(table: &'t DeTable<'d>) -> Vec<Entry<'t, 'd>> {
    table
        .iter()
        .map(|(key, value)| Entry {
            name: key.get_ref().to_string(),
            start: key.span().start,
            value,
        })
        .collect()
}

impl<'t, 'd> Entry<'t, 'd> {
    /// Reads the entry as a section.
    pub fn open(
        &self,
        file: &mut ConfigFile,
        section: &'static Section,
        name: String,
    ) -> Option<Table<'t, 'd>> {
        if let DeValue::Table(table) = self.value.get_ref() {
            return Some(Table::open(file, table, section, name, self.start));
        }
        let kind = DiagnosticKind::InvalidValue {
            field: self.name.clone(),
            section: name,
            found: describe_value(self.value.get_ref()),
            expected: "a table".to_owned(),
        };
        file.report(self.start, kind);
        None
    }

    /// Reads the entry as an integer from `from` to `to`.
    pub fn integer(&self, file: &mut ConfigFile, section: &str, from: i64, to: i64) -> Option<u64> {
        let found = parse_integer(self.value.get_ref(), from, to);
        if found.is_none() {
            let kind = DiagnosticKind::InvalidValue {
                field: self.name.clone(),
                section: section.to_owned(),
                found: describe_value(self.value.get_ref()),
                expected: describe_type(FieldType::Integer(from, to)),
            };
            file.report(self.start, kind);
        }
        found.map(|number| number as u64)
    }

    /// Reads the entry as a string.
    pub fn string(&self, file: &mut ConfigFile, section: &str) -> Option<String> {
        if let DeValue::String(text) = self.value.get_ref() {
            return Some(text.to_string());
        }
        let kind = DiagnosticKind::InvalidValue {
            field: self.name.clone(),
            section: section.to_owned(),
            found: describe_value(self.value.get_ref()),
            expected: "a text".to_owned(),
        };
        file.report(self.start, kind);
        None
    }
}
