//! Reads TOML tables against the schema and collects every fault.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::error::{Diagnostic, DiagnosticKind, Diagnostics, nearest};
use crate::schema::{Field, FieldType, Section};

/// A file being read, with the diagnostics found so far.
#[derive(Debug)]
pub struct ConfigFile<'a> {
    path: &'a Path,
    text: &'a str,
    /// Diagnostics found so far.
    pub diagnostics: Diagnostics,
}

impl<'a> ConfigFile<'a> {
    /// Starts reading a file.
    #[must_use]
    pub fn new(path: &'a Path, text: &'a str) -> Self {
        Self {
            path,
            text,
            diagnostics: Diagnostics::default(),
        }
    }

    /// Parses the whole text.
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

    /// Returns the line of a byte, from 1.
    #[must_use]
    pub fn line(&self, offset: usize) -> usize {
        let before = self.text.get(..offset).unwrap_or(self.text);
        before.matches('\n').count() + 1
    }

    /// Adds a fault at a byte.
    pub fn report(&mut self, offset: usize, kind: DiagnosticKind) {
        let line = self.line(offset);
        self.diagnostics.0.push(Diagnostic {
            file: self.path.to_owned(),
            line,
            kind,
        });
    }

    /// Returns `path:line` of a byte.
    #[must_use]
    pub fn location(&self, offset: usize) -> String {
        format!("{}:{}", self.path.display(), self.line(offset))
    }
}

/// One table being read against its section of the schema.
pub struct Table<'t, 'd> {
    table: &'t DeTable<'d>,
    section: &'static Section,
    name: String,
    start: usize,
}

/// A table inside another, with the name that the user gave it.
pub struct Entry<'t, 'd> {
    /// Name.
    pub name: String,
    /// Byte of the name.
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

/// Describes what a field holds.
#[must_use]
pub fn describe_type(field_type: FieldType) -> String {
    match field_type {
        FieldType::String => "a text".to_owned(),
        FieldType::Integer(from, to) => format!("a whole number from {from} to {to}"),
        FieldType::Float(from, to) => format!("a number from {from} to {to}"),
        FieldType::Boolean => "true or false".to_owned(),
        FieldType::Strings => "a list of texts".to_owned(),
        FieldType::Integers(from, to) => format!("a list of whole numbers from {from} to {to}"),
        FieldType::Address => "an IP address with a port".to_owned(),
        FieldType::Map => "a table".to_owned(),
        FieldType::Tables => "a list of tables".to_owned(),
    }
}

fn whole(value: &DeValue, from: i64, to: i64) -> Option<i64> {
    let DeValue::Integer(number) = value else {
        return None;
    };
    i64::from_str_radix(number.as_str(), number.radix())
        .ok()
        .filter(|number| (from..=to).contains(number))
}

fn number(value: &DeValue, from: f64, to: f64) -> Option<f64> {
    let number = match value {
        DeValue::Integer(number) => number.as_str().parse().ok()?,
        DeValue::Float(number) => number.as_str().parse::<f64>().ok()?,
        _ => return None,
    };
    (from..=to).contains(&number).then_some(number)
}

fn texts(value: &DeValue) -> Option<Vec<(String, Range<usize>)>> {
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

/// A name and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocatedText {
    /// The name.
    pub text: String,
    /// Its byte in the file.
    pub start: usize,
}

impl<'t, 'd> Table<'t, 'd> {
    /// Opens a table and reports fields that its section does not have.
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
                file.report(key.span().start, kind);
            }
        }
        Self {
            table,
            section,
            name,
            start,
        }
    }

    /// Returns the section's name for messages.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the byte at which the table starts.
    #[must_use]
    pub fn start(&self) -> usize {
        self.start
    }

    fn field(&self, name: &str) -> &'static Field {
        self.section
            .fields
            .iter()
            .find(|field| field.name == name)
            .expect("the reader asks only for fields of the schema")
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

    /// Reports a value that does not do.
    pub fn report_value(&self, file: &mut ConfigFile, name: &str, found: &str, expected: &str) {
        let start = self.offset_of(name);
        let kind = DiagnosticKind::InvalidValue {
            field: name.to_owned(),
            section: self.name.clone(),
            found: found.to_owned(),
            expected: expected.to_owned(),
        };
        file.report(start, kind);
    }

    /// Returns the byte of a field's value, or of the table if the field is absent.
    #[must_use]
    pub fn offset_of(&self, name: &str) -> usize {
        self.table
            .get(name)
            .map_or(self.start, |value| value.span().start)
    }

    /// Reads a text.
    pub fn string(&self, file: &mut ConfigFile, name: &str) -> Option<LocatedText> {
        let start = self.offset_of(name);
        let text = self.get(file, name, |value| match value {
            DeValue::String(text) => Some(text.to_string()),
            _ => None,
        })?;
        Some(LocatedText { text, start })
    }

    /// Reads a text that is one of a few.
    pub fn one_of(&self, file: &mut ConfigFile, name: &str, known: &[&str]) -> Option<String> {
        let located = self.string(file, name)?;
        if known.contains(&located.text.as_str()) {
            return Some(located.text);
        }
        let found = format!("the text {:?}", located.text);
        self.report_value(file, name, &found, &known.join(" or "));
        None
    }

    /// Reads a whole number, or takes the default.
    pub fn integer(&self, file: &mut ConfigFile, name: &str) -> u64 {
        let field = self.field(name);
        let FieldType::Integer(from, to) = field.field_type else {
            unreachable!("the schema says that {name} holds a whole number");
        };
        let default = || field.default.and_then(|text| text.parse().ok());
        self.get(file, name, |value| whole(value, from, to))
            .or_else(default)
            .unwrap_or(from) as u64
    }

    /// Reads a whole number, `None` without a fault if it is absent.
    pub fn optional_integer(&self, file: &mut ConfigFile, name: &str) -> Option<u64> {
        self.table.get(name)?;
        Some(self.integer(file, name))
    }

    /// Reads a number, or takes the default.
    pub fn float(&self, file: &mut ConfigFile, name: &str) -> f64 {
        let field = self.field(name);
        let FieldType::Float(from, to) = field.field_type else {
            unreachable!("the schema says that {name} holds a number");
        };
        let default = || field.default.and_then(|text| text.parse().ok());
        self.get(file, name, |value| number(value, from, to))
            .or_else(default)
            .unwrap_or(from)
    }

    /// Reads true or false, or takes the default.
    pub fn boolean(&self, file: &mut ConfigFile, name: &str) -> bool {
        self.get(file, name, |value| match value {
            DeValue::Boolean(flag) => Some(*flag),
            _ => None,
        })
        .unwrap_or(self.field(name).default == Some("true"))
    }

    /// Reads a list of texts, `None` if it is absent or wrong.
    pub fn strings(&self, file: &mut ConfigFile, name: &str) -> Option<Vec<LocatedText>> {
        let list = self.get(file, name, texts)?;
        Some(
            list.into_iter()
                .map(|(text, span)| LocatedText {
                    text,
                    start: span.start,
                })
                .collect(),
        )
    }

    /// Reads a list of whole numbers, empty if it is absent or wrong.
    pub fn integers(&self, file: &mut ConfigFile, name: &str) -> Vec<i64> {
        let FieldType::Integers(from, to) = self.field(name).field_type else {
            unreachable!("the schema says that {name} holds whole numbers");
        };
        self.get(file, name, |value| match value {
            DeValue::Array(list) => list
                .iter()
                .map(|item| whole(item.get_ref(), from, to))
                .collect(),
            _ => None,
        })
        .unwrap_or_default()
    }

    /// Reads an address.
    pub fn address(&self, file: &mut ConfigFile, name: &str) -> Option<SocketAddr> {
        self.get(file, name, |value| match value {
            DeValue::String(text) => text.parse().ok(),
            _ => None,
        })
    }

    /// Reads a table of tables or values with names of the user's own.
    pub fn entries(&self, file: &mut ConfigFile, name: &str) -> Vec<Entry<'t, 'd>> {
        let table = self.get(file, name, |value| match value {
            DeValue::Table(table) => Some(table),
            _ => None,
        });
        table.into_iter().flat_map(entries).collect()
    }

    /// Reads a table with a section of its own, `None` without a fault if it is absent.
    pub fn optional_table(
        &self,
        file: &mut ConfigFile,
        name: &str,
        section: &'static Section,
    ) -> Option<Table<'t, 'd>> {
        self.table.get(name)?;
        self.table(file, name, section)
    }

    /// Reads a table with a section of its own.
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

    /// Reads a list of tables with a section of its own.
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

fn entries<'t, 'd>(table: &'t DeTable<'d>) -> Vec<Entry<'t, 'd>> {
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
    /// Opens the entry as a table of a section.
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

    /// Reads the entry as a whole number.
    pub fn integer(&self, file: &mut ConfigFile, section: &str, from: i64, to: i64) -> Option<u64> {
        let found = whole(self.value.get_ref(), from, to);
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

    /// Reads the entry as a text.
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
