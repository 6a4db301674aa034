//! Records of an asset register and the inventory entries made from them.

use std::fmt::Write;
use std::ops::Range;

use miette::NamedSource;

use crate::{CliError, RegisterError};

/// TOML type of the values of a column.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ValueType {
    Text,
    Integer,
    Decimal,
}

/// A column of one kind of record: name, whether a value is required, type of the values.
type Column = (&'static str, bool, ValueType);

/// Kinds of records, each with its columns besides `kind` and `id`.
const KINDS: &[(&str, &[Column])] = &[
    ("zone", &[("region", true, ValueType::Text)]),
    ("service", &[]),
    (
        "server",
        &[
            ("service", true, ValueType::Text),
            ("zone", true, ValueType::Text),
            ("addr", true, ValueType::Text),
        ],
    ),
    (
        "runner",
        &[
            ("pool", true, ValueType::Text),
            ("role", true, ValueType::Text),
            ("zone", true, ValueType::Text),
            ("addr", true, ValueType::Text),
        ],
    ),
    (
        "team",
        &[
            ("requests_per_s", false, ValueType::Decimal),
            ("max_tokens", false, ValueType::Integer),
        ],
    ),
    ("device", &[("team", true, ValueType::Text)]),
];

/// A cell with its byte range in the register.
#[derive(Debug, Clone)]
struct Cell {
    text: String,
    span: Range<usize>,
}

/// One inventory entry.
#[derive(Debug)]
struct Entry {
    kind: &'static str,
    fields: Vec<(&'static str, ValueType, Cell)>,
}

/// A validated asset register.
#[derive(Debug)]
pub(super) struct Register<'a> {
    name: &'a str,
    source: &'a str,
    entries: Vec<Entry>,
}

/// Byte ranges of values, each in the written text and in the register, ordered by the former.
#[derive(Debug, Default)]
pub(super) struct PositionMap(Vec<(Range<usize>, Range<usize>)>);

impl PositionMap {
    /// Byte range in the register of the value at this offset of the written text.
    pub fn find(&self, offset: usize) -> Option<Range<usize>> {
        let index = self.0.partition_point(|(written, _)| written.end <= offset);
        let (written, span) = self.0.get(index)?;
        written.contains(&offset).then(|| span.clone())
    }
}

impl<'a> Register<'a> {
    /// Reads and validates the records.
    pub fn read(name: &'a str, source: &'a str) -> Result<Self, CliError> {
        let mut register = Register {
            name,
            source,
            entries: Vec::new(),
        };
        let mut reader = csv::ReaderBuilder::new()
            .has_headers(false)
            .trim(csv::Trim::All)
            .from_reader(source.as_bytes());
        let mut columns: Option<Vec<String>> = None;
        for record in reader.records() {
            let record = record.map_err(|err| register.csv_error(&err))?;
            let start = record.position().map_or(0, |position| position.byte());
            let start = usize::try_from(start).unwrap_or(0);
            let spans = cell_spans(source, start);
            let cell = |(index, text): (usize, &str)| Cell {
                text: text.to_owned(),
                span: spans.get(index).cloned().unwrap_or(start..start),
            };
            let record: Vec<Cell> = record.iter().enumerate().map(cell).collect();
            match &columns {
                None => columns = Some(register.parse_heading(&record)?),
                Some(columns) => {
                    let entry = register.parse_entry(columns, &record)?;
                    register.entries.push(entry);
                }
            }
        }
        match columns {
            Some(_) => Ok(register),
            None => Err(register.error_at(0..0, "the register is empty".to_owned(), None)),
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// An error at a byte range of the register.
    pub fn error_at(&self, span: Range<usize>, message: String, help: Option<String>) -> CliError {
        CliError::Register(Box::new(RegisterError {
            message,
            source_text: NamedSource::new(self.name, self.source.to_owned()),
            span: span.into(),
            help,
        }))
    }

    fn csv_error(&self, err: &csv::Error) -> CliError {
        let at = err.position().map_or(0, |position| position.byte());
        let at = usize::try_from(at).unwrap_or(0);
        let message = match err.kind() {
            csv::ErrorKind::UnequalLengths {
                expected_len, len, ..
            } => format!("the record has {len} cells, but the heading has {expected_len}"),
            _ => err.to_string(),
        };
        self.error_at(at..at, message, None)
    }

    fn parse_heading(&self, record: &[Cell]) -> Result<Vec<String>, CliError> {
        let columns: Vec<String> = record.iter().map(|cell| cell.text.clone()).collect();
        for (index, cell) in record.iter().enumerate() {
            if columns[..index].contains(&cell.text) {
                let message = format!("the column {:?} is named twice", cell.text);
                return Err(self.error_at(cell.span.clone(), message, None));
            }
        }
        for required in ["kind", "id"] {
            if !columns.iter().any(|column| column == required) {
                let message = format!("the column {required:?} is missing");
                let help = "the first line names the columns, such as kind,id,zone,addr";
                return Err(self.error_at(0..0, message, Some(help.to_owned())));
            }
        }
        Ok(columns)
    }

    fn parse_entry(&self, columns: &[String], record: &[Cell]) -> Result<Entry, CliError> {
        let find = |name: &str| {
            let index = columns.iter().position(|column| column == name)?;
            record.get(index).filter(|cell| !cell.text.is_empty())
        };
        let start = record.first().map_or(0..0, |cell| cell.span.clone());
        let Some(kind) = find("kind") else {
            return Err(self.error_at(start, "the record has no kind".to_owned(), None));
        };
        let Some((name, kind_columns)) = KINDS.iter().find(|(name, _)| *name == kind.text) else {
            let names: Vec<&str> = KINDS.iter().map(|(name, _)| *name).collect();
            let help = format!("allowed are {}", names.join(", "));
            let message = format!("{:?} is not a kind", kind.text);
            return Err(self.error_at(kind.span.clone(), message, Some(help)));
        };
        let mut fields = Vec::new();
        for (column, required, value_type) in [("id", true, ValueType::Text)]
            .iter()
            .chain(kind_columns.iter())
        {
            match find(column) {
                Some(cell) => {
                    self.check_type(column, *value_type, cell)?;
                    fields.push((*column, *value_type, cell.clone()));
                }
                None if *required => {
                    let message = format!("a {name} needs a value in the column {column:?}");
                    return Err(self.error_at(kind.span.clone(), message, None));
                }
                None => {}
            }
        }
        Ok(Entry { kind: name, fields })
    }

    fn check_type(&self, column: &str, value_type: ValueType, cell: &Cell) -> Result<(), CliError> {
        let is_valid = match value_type {
            ValueType::Text => true,
            ValueType::Integer => cell.text.parse::<u64>().is_ok(),
            ValueType::Decimal => cell.text.parse::<f64>().is_ok_and(f64::is_finite),
        };
        match is_valid {
            true => Ok(()),
            false => {
                let message = format!("{column}: {:?} is not a number", cell.text);
                Err(self.error_at(cell.span.clone(), message, None))
            }
        }
    }

    /// Appends the entries to `text` and records the byte ranges of their values.
    pub fn append_to(&self, mut text: String) -> (String, PositionMap) {
        let mut positions = PositionMap::default();
        if !text.ends_with('\n') {
            text.push('\n');
        }
        for entry in &self.entries {
            let _ = writeln!(text, "\n[[{}]]", entry.kind);
            for (name, value_type, cell) in &entry.fields {
                let _ = write!(text, "{name} = ");
                let start = text.len();
                match value_type {
                    ValueType::Text => {
                        let _ = write!(text, "{}", toml::Value::from(cell.text.as_str()));
                    }
                    ValueType::Integer => text.push_str(&cell.text),
                    ValueType::Decimal => {
                        let number: f64 = cell.text.parse().unwrap_or_default();
                        let _ = write!(text, "{number:?}");
                    }
                }
                positions.0.push((start..text.len(), cell.span.clone()));
                text.push('\n');
            }
        }
        (text, positions)
    }
}

/// Byte ranges of the cells of the record at `start`, without surrounding whitespace.
fn cell_spans(source: &str, start: usize) -> Vec<Range<usize>> {
    let bytes = source.as_bytes();
    let mut spans = Vec::new();
    let mut at = start;
    // The position that the CSV reader reports for a record includes blank lines before it.
    while bytes
        .get(at)
        .is_some_and(|byte| matches!(byte, b'\r' | b'\n'))
    {
        at += 1;
    }
    let mut from = at;
    let mut quoted = false;
    loop {
        let byte = bytes.get(at).copied();
        match byte {
            Some(b'"') => quoted = !quoted,
            Some(_) if quoted => {}
            Some(b',') => {
                spans.push(trimmed(source, from..at));
                from = at + 1;
            }
            None | Some(b'\n' | b'\r') => {
                spans.push(trimmed(source, from..at));
                return spans;
            }
            Some(_) => {}
        }
        at += 1;
    }
}

fn trimmed(source: &str, span: Range<usize>) -> Range<usize> {
    let cell = &source[span.clone()];
    let start = span.start + (cell.len() - cell.trim_start().len());
    start..start + cell.trim().len()
}
