//! Faults in a configuration document.

use miette::{Diagnostic, NamedSource, SourceSpan};

/// A fault in the inventory or rules, with its place in the text.
#[derive(Debug, Clone, thiserror::Error, Diagnostic)]
pub enum ConfigError {
    /// The text is not valid TOML or has an unknown or missing field.
    #[error("the inventory cannot be read: {message}")]
    #[diagnostic(
        code(config::syntax),
        help("each entry is a table such as [[runner]]; docs/operations.md lists the fields")
    )]
    Syntax {
        /// What the parser expected.
        message: String,
        /// The document.
        #[source_code]
        source_text: NamedSource<String>,
        /// Where the fault is.
        #[label("here")]
        at: SourceSpan,
    },
    /// A value is not allowed.
    #[error("{field}: {message}")]
    #[diagnostic(code(config::value))]
    Value {
        /// The field, such as `runner.addr`.
        field: &'static str,
        /// What is wrong with it and what is allowed.
        message: String,
        /// The document.
        #[source_code]
        source_text: NamedSource<String>,
        /// Where the value is.
        #[label("this value")]
        at: SourceSpan,
        /// What to change.
        #[help]
        help: Option<String>,
    },
}

impl ConfigError {
    pub(crate) fn syntax(text: &str, err: &toml::de::Error) -> Box<Self> {
        let span = err.span().unwrap_or(0..0);
        Box::new(ConfigError::Syntax {
            message: err.message().to_owned(),
            source_text: NamedSource::new("inventory", text.to_owned()),
            at: span.into(),
        })
    }

    /// Byte offset of the fault in the document.
    pub fn offset(&self) -> usize {
        match self {
            ConfigError::Syntax { at, .. } | ConfigError::Value { at, .. } => at.offset(),
        }
    }
}
