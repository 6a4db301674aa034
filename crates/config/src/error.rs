//! Errors in a configuration document.

use miette::{Diagnostic, NamedSource, SourceSpan};

/// An error in the inventory or rules, with its position in the text.
#[derive(Debug, Clone, thiserror::Error, Diagnostic)]
pub enum ConfigError {
    /// The text is not valid TOML or has an unknown or missing field.
    #[error("the inventory cannot be read: {message}")]
    #[diagnostic(
        code(config::syntax),
        help("each entry is a table such as [[runner]]; docs/OPERATIONS.md lists the fields")
    )]
    Syntax {
        /// What the parser expected.
        message: String,
        /// The document.
        #[source_code]
        source_text: NamedSource<String>,
        /// Position of the error.
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
        /// Position of the value.
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

    /// Sets the name of the document, such as a file's path.
    #[must_use]
    pub fn named(mut self: Box<Self>, name: &str) -> Box<Self> {
        let (ConfigError::Syntax { source_text, .. } | ConfigError::Value { source_text, .. }) =
            &mut *self;
        let text = source_text.inner().clone();
        *source_text = NamedSource::new(name, text);
        self
    }

    /// Line and column of the error, both from 1; columns count characters.
    pub fn position(&self) -> (usize, usize) {
        let (ConfigError::Syntax { source_text, .. } | ConfigError::Value { source_text, .. }) =
            self;
        let text = source_text.inner();
        let before = text.get(..self.offset()).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        let line = before.matches('\n').count() + 1;
        (line, before[line_start..].chars().count() + 1)
    }

    /// Advice on how to correct the document, if there is any.
    pub fn advice(&self) -> Option<String> {
        miette::Diagnostic::help(self).map(|help| help.to_string())
    }

    /// Byte offset of the error in the document.
    pub fn offset(&self) -> usize {
        match self {
            ConfigError::Syntax { at, .. } | ConfigError::Value { at, .. } => at.offset(),
        }
    }
}
