//! Validation of single values.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::Range;
use std::str::FromStr;

use bv_types::{Millis, RatePerSec, is_server_address};
use miette::NamedSource;
use smol_str::SmolStr;
use toml::Spanned;

use crate::ConfigError;
use crate::inventory::{Class, EngineRole};

const MAX_DEADLINE_MS: u64 = 3_600_000;

pub(crate) type Checked<T> = Result<T, Box<ConfigError>>;

/// Validates the values of a document and reports errors with their position in the text.
pub(crate) struct Checker<'a> {
    pub text: &'a str,
}

impl Checker<'_> {
    pub fn error(
        &self,
        field: &'static str,
        at: Range<usize>,
        message: impl Display,
    ) -> Box<ConfigError> {
        self.error_with_help(field, at, message, None)
    }

    pub fn error_with_help(
        &self,
        field: &'static str,
        at: Range<usize>,
        message: impl Display,
        help: Option<String>,
    ) -> Box<ConfigError> {
        Box::new(ConfigError::Value {
            field,
            message: message.to_string(),
            source_text: NamedSource::new("inventory", self.text.to_owned()),
            at: at.into(),
            help,
        })
    }

    pub fn parse<T>(&self, field: &'static str, value: &Spanned<SmolStr>) -> Checked<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        value
            .get_ref()
            .parse()
            .map_err(|err| self.error(field, value.span(), err))
    }

    pub fn number<T: PartialOrd + Display + Copy>(
        &self,
        field: &'static str,
        value: &Spanned<T>,
        allowed: Range<T>,
    ) -> Checked<T> {
        let number = *value.get_ref();
        if allowed.contains(&number) {
            return Ok(number);
        }
        let message = format!(
            "{number} is out of range; it must be at least {} and less than {}",
            allowed.start, allowed.end
        );
        Err(self.error(field, value.span(), message))
    }

    pub fn rate(&self, field: &'static str, value: &Spanned<f64>) -> Checked<RatePerSec> {
        RatePerSec::try_from(*value.get_ref()).map_err(|err| self.error(field, value.span(), err))
    }

    pub fn deadline(&self, field: &'static str, value: &Spanned<u64>) -> Checked<Millis> {
        self.number(field, value, 1..MAX_DEADLINE_MS + 1)
            .map(Millis)
    }

    pub fn class(&self, field: &'static str, value: &Spanned<SmolStr>) -> Checked<Class> {
        match value.get_ref().as_str() {
            "urgent" => Ok(Class::Urgent),
            "waiting" => Ok(Class::Waiting),
            other => Err(self.error(
                field,
                value.span(),
                format!("{other:?} is not a class; allowed are \"urgent\" and \"waiting\""),
            )),
        }
    }

    pub fn role(&self, value: &Spanned<SmolStr>) -> Checked<EngineRole> {
        match value.get_ref().as_str() {
            "prefill" => Ok(EngineRole::Prefill),
            "decode" => Ok(EngineRole::Decode),
            other => Err(self.error(
                "runner.role",
                value.span(),
                format!("{other:?} is not a role; allowed are \"prefill\" and \"decode\""),
            )),
        }
    }

    pub fn addr(&self, field: &'static str, value: &Spanned<SmolStr>) -> Checked<SocketAddr> {
        let addr = value.get_ref().parse().ok();
        addr.filter(|addr| is_server_address(*addr)).ok_or_else(|| {
            self.error(
                field,
                value.span(),
                format!(
                    "{:?} is not an IP address with a port, such as 10.0.0.7:8000",
                    value.get_ref()
                ),
            )
        })
    }

    /// Sorts the entries by id and rejects duplicate ids.
    pub fn sorted<T, K: Ord + Display + Clone>(
        &self,
        field: &'static str,
        mut entries: Vec<(T, Range<usize>)>,
        id: impl Fn(&T) -> K,
    ) -> Checked<Vec<T>> {
        entries.sort_by_key(|(entry, _)| id(entry));
        for pair in entries.windows(2) {
            let (first, second) = (&pair[0], &pair[1]);
            if id(&first.0) == id(&second.0) {
                return Err(self.error(
                    field,
                    second.1.clone(),
                    format!("{} is listed twice", id(&second.0)),
                ));
            }
        }
        Ok(entries.into_iter().map(|(entry, _)| entry).collect())
    }

    /// Parses a reference to another entry and rejects it if there is no such entry.
    pub fn reference<T, K>(
        &self,
        field: &'static str,
        value: &Spanned<SmolStr>,
        entries: &[T],
        id: impl Fn(&T) -> &K,
    ) -> Checked<K>
    where
        K: Ord + FromStr + Display,
        K::Err: Display,
    {
        let key: K = self.parse(field, value)?;
        if entries
            .binary_search_by(|entry| id(entry).cmp(&key))
            .is_ok()
        {
            return Ok(key);
        }
        let known: Vec<String> = entries.iter().map(|entry| id(entry).to_string()).collect();
        let help = match known.is_empty() {
            true => "the inventory lists no such entries".to_owned(),
            false => format!("listed are {}", known.join(", ")),
        };
        Err(self.error_with_help(
            field,
            value.span(),
            format!("{key} is not in the inventory"),
            Some(help),
        ))
    }
}
