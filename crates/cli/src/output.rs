//! Output as text and as JSON.

use std::io::Write;

use miette::{Diagnostic, Report};
use serde_json::{Value, json};

use crate::CliError;

/// Prints to standard output. Failures such as a closed pipe are ignored.
pub(crate) fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end_matches('\n'));
}

/// Prints one JSON object to standard output.
pub(crate) fn print_json(value: &Value) {
    print(&value.to_string());
}

/// Prints to standard error. Failures are ignored.
pub(crate) fn print_error(text: &str) {
    let _ = writeln!(std::io::stderr(), "{}", text.trim_end_matches('\n'));
}

/// Prints an error to standard error, as a diagnostic or as one JSON object.
pub(crate) fn print_diagnostic(err: CliError, as_json: bool) {
    if !as_json {
        print_error(&format!("{:?}", Report::new(err)));
        return;
    }
    let position = err.position();
    let mut error = json!({
        "code": err.code().map(|code| code.to_string()),
        "message": err.to_string(),
        "help": err.help().map(|help| help.to_string()),
        "line": position.map(|(line, _)| line),
        "column": position.map(|(_, column)| column),
        "exit": err.exit_code(),
    });
    err.add_details(&mut error);
    print_error(&json!({"error": error}).to_string());
}

/// Formats rows as aligned columns; the first row is the heading.
pub(crate) fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns)
        .map(|column| {
            let cells = rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    text
}
