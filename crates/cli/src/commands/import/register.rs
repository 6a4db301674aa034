//! Records of an asset register and the inventory entries made from them.

use std::fmt::Write;
use std::ops::Range;

use miette::NamedSource;

use crate::{CliError, RegisterError};

/// How a column's value is written in TOML.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    Text,
    Integer,
    Decimal,
}

/// A column of one kind: name, whether it is needed, form.
type Column = (&'static str, bool, Form);

/// Kinds of records with their columns besides `kind` and `id`.
const KINDS: &[(&str, &[Column])] = &[
    ("zone", &[("region", true, Form::Text)]),
    ("service", &[]),
    (
        "server",
        &[
            ("service", true, Form::Text),
            ("zone", true, Form::Text),
            ("addr", true, Form::Text),
        ],
    ),
    (
        "runner",
        &[
            ("pool", true, Form::Text),
            ("role", true, Form::Text),
            ("zone", true, Form::Text),
            ("addr", true, Form::Text),
        ],
    ),
    (
        "team",
        &[
            ("requests_per_s", false, Form::Decimal),
            ("max_tokens", false, Form::Integer),
        ],
    ),
    ("device", &[("team", true, Form::Text)]),
];

/// A cell with its place in the register.
#[derive(Debug, Clone)]
struct Cell {
    text: String,
    at: Range<usize>,
}

/// One inventory entry.
#[derive(Debug)]
struct Entry {
    kind: &'static str,
    fields: Vec<(&'static str, Form, Cell)>,
}

/// A checked asset register.
#[derive(Debug)]
pub(super) struct Register<'a> {
    name: &'a str,
    source: &'a str,
    entries: Vec<Entry>,
}

/// Places of values in the written text and in the register, in ascending order.
#[derive(Debug, Default)]
pub(super) struct Places(Vec<(Range<usize>, Range<usize>)>);

impl Places {
    /// Place in the register of the value at this offset of the text.
    pub fn find(&self, offset: usize) -> Option<Range<usize>> {
        let index = self.0.partition_point(|(written, _)| written.end <= offset);
        let (written, at) = self.0.get(index)?;
        written.contains(&offset).then(|| at.clone())
    }
}

impl<'a> Register<'a> {
    /// Reads the records; each kind needs its columns.
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
            let record = record.map_err(|err| register.csv_fault(&err))?;
            let start = record.position().map_or(0, |position| position.byte());
            let start = usize::try_from(start).unwrap_or(0);
            let spans = cells(source, start);
            let cell = |(index, text): (usize, &str)| Cell {
                text: text.to_owned(),
                at: spans.get(index).cloned().unwrap_or(start..start),
            };
            let record: Vec<Cell> = record.iter().enumerate().map(cell).collect();
            match &columns {
                None => columns = Some(register.heading(&record)?),
                Some(columns) => {
                    let entry = register.entry(columns, &record)?;
                    register.entries.push(entry);
                }
            }
        }
        match columns {
            Some(_) => Ok(register),
            None => Err(register.fault(0..0, "the register is empty".to_owned(), None)),
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// A fault at a place in the register.
    pub fn fault(&self, at: Range<usize>, message: String, help: Option<String>) -> CliError {
        CliError::Register(Box::new(RegisterError {
            message,
            source_text: NamedSource::new(self.name, self.source.to_owned()),
            at: at.into(),
            help,
        }))
    }

    fn csv_fault(&self, err: &csv::Error) -> CliError {
        let at = err.position().map_or(0, |position| position.byte());
        let at = usize::try_from(at).unwrap_or(0);
        let message = match err.kind() {
            csv::ErrorKind::UnequalLengths {
                expected_len, len, ..
            } => format!("the record has {len} cells, the heading {expected_len}"),
            _ => err.to_string(),
        };
        self.fault(at..at, message, None)
    }

    fn heading(&self, record: &[Cell]) -> Result<Vec<String>, CliError> {
        let columns: Vec<String> = record.iter().map(|cell| cell.text.clone()).collect();
        for (index, cell) in record.iter().enumerate() {
            if columns[..index].contains(&cell.text) {
                let message = format!("the column {:?} is named twice", cell.text);
                return Err(self.fault(cell.at.clone(), message, None));
            }
        }
        for needed in ["kind", "id"] {
            if !columns.iter().any(|column| column == needed) {
                let message = format!("the column {needed:?} is missing");
                let help = "the first line names the columns, such as kind,id,zone,addr";
                return Err(self.fault(0..0, message, Some(help.to_owned())));
            }
        }
        Ok(columns)
    }

    fn entry(&self, columns: &[String], record: &[Cell]) -> Result<Entry, CliError> {
        let find = |name: &str| {
            let index = columns.iter().position(|column| column == name)?;
            record.get(index).filter(|cell| !cell.text.is_empty())
        };
        let place = record.first().map_or(0..0, |cell| cell.at.clone());
        let Some(kind) = find("kind") else {
            return Err(self.fault(place, "the record has no kind".to_owned(), None));
        };
        let Some((name, wanted)) = KINDS.iter().find(|(name, _)| *name == kind.text) else {
            let names: Vec<&str> = KINDS.iter().map(|(name, _)| *name).collect();
            let help = format!("allowed are {}", names.join(", "));
            let message = format!("{:?} is not a kind", kind.text);
            return Err(self.fault(kind.at.clone(), message, Some(help)));
        };
        let mut fields = Vec::new();
        for (column, needed, form) in [("id", true, Form::Text)].iter().chain(wanted.iter()) {
            match find(column) {
                Some(cell) => {
                    self.check_form(column, *form, cell)?;
                    fields.push((*column, *form, cell.clone()));
                }
                None if *needed => {
                    let message = format!("a {name} needs a value in the column {column:?}");
                    return Err(self.fault(kind.at.clone(), message, None));
                }
                None => {}
            }
        }
        Ok(Entry { kind: name, fields })
    }

    fn check_form(&self, column: &str, form: Form, cell: &Cell) -> Result<(), CliError> {
        let fits = match form {
            Form::Text => true,
            Form::Integer => cell.text.parse::<u64>().is_ok(),
            Form::Decimal => cell.text.parse::<f64>().is_ok_and(f64::is_finite),
        };
        match fits {
            true => Ok(()),
            false => {
                let message = format!("{column}: {:?} is not a number", cell.text);
                Err(self.fault(cell.at.clone(), message, None))
            }
        }
    }

    /// Writes the entries after `text` and notes the places of their values.
    pub fn write(&self, mut text: String) -> (String, Places) {
        let mut places = Places::default();
        if !text.ends_with('\n') {
            text.push('\n');
        }
        for entry in &self.entries {
            let _ = writeln!(text, "\n[[{}]]", entry.kind);
            for (name, form, cell) in &entry.fields {
                let _ = write!(text, "{name} = ");
                let start = text.len();
                match form {
                    Form::Text => {
                        let _ = write!(text, "{}", toml::Value::from(cell.text.as_str()));
                    }
                    Form::Integer => text.push_str(&cell.text),
                    Form::Decimal => {
                        let number: f64 = cell.text.parse().unwrap_or_default();
                        let _ = write!(text, "{number:?}");
                    }
                }
                places.0.push((start..text.len(), cell.at.clone()));
                text.push('\n');
            }
        }
        (text, places)
    }
}

/// Places of the cells of the record that starts at `start`, without surrounding blanks.
fn cells(source: &str, start: usize) -> Vec<Range<usize>> {
    let bytes = source.as_bytes();
    let mut spans = Vec::new();
    let mut at = start;
    // Blank lines before a record belong to its position.
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
