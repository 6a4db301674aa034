//! Process settings from flags and environment variables.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use argh::FromArgs;
use bv_types::{HostId, Millis, ParseError, ZoneId};
use miette::Diagnostic;
use smol_str::SmolStr;

const VARIABLE_PREFIX: &str = "BURDOCKVALE_";

/// A setting is missing or not allowed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Diagnostic)]
pub enum SettingError {
    /// No value was given.
    #[error("--{flag} is not set")]
    #[diagnostic(code(settings::missing), help("give --{flag} or set {variable}"))]
    Missing {
        /// Name of the flag.
        flag: String,
        /// Name of the environment variable.
        variable: String,
    },
    /// The value does not parse.
    #[error("--{flag} ({variable}): {message}")]
    #[diagnostic(
        code(settings::invalid),
        help("run burdockvaled --help for all settings")
    )]
    Invalid {
        /// Name of the flag.
        flag: String,
        /// Name of the environment variable.
        variable: String,
        /// The value and what is allowed; without the value if it is a secret.
        message: String,
    },
}

/// A setting that is parsed from text.
trait Setting: Sized {
    fn parse(text: &str) -> Result<Self, String>;
}

macro_rules! parsed_setting {
    ($($kind:ty: $expected:literal,)*) => {$(
        impl Setting for $kind {
            fn parse(text: &str) -> Result<Self, String> {
                text.parse()
                    .map_err(|_| format!("{text:?} is not {}", $expected))
            }
        }
    )*};
}

parsed_setting! {
    SocketAddr: "an IP address with a port, such as 10.0.0.7:8080",
    u64: "a whole number",
    usize: "a whole number",
    SmolStr: "text",
    HostId: "an entry host id of 1 to 64 letters, digits, '-' or '_'",
    ZoneId: "an availability zone id of 1 to 64 letters, digits, '-' or '_'",
    LogFormat: "\"text\" or \"json\"",
}

impl Setting for Millis {
    fn parse(text: &str) -> Result<Self, String> {
        text.parse()
            .map(Millis)
            .map_err(|_| format!("{text:?} is not a whole number of milliseconds"))
    }
}

impl Setting for Secret {
    fn parse(text: &str) -> Result<Self, String> {
        Secret::try_from(text).map_err(|err| err.expected.to_owned())
    }
}

impl Setting for Option<IpAddr> {
    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "" => Ok(None),
            text => text
                .parse()
                .map(Some)
                .map_err(|_| format!("{text:?} is not an IP address")),
        }
    }
}

impl Setting for Option<SocketAddr> {
    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "" => Ok(None),
            text => SocketAddr::parse(text).map(Some),
        }
    }
}

impl Setting for Vec<SocketAddr> {
    fn parse(text: &str) -> Result<Self, String> {
        text.split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(SocketAddr::parse)
            .collect()
    }
}

fn read<T: Setting>(
    name: &str,
    flag: Option<&str>,
    default: Option<&str>,
    variables: &dyn Fn(&str) -> Option<String>,
) -> Result<T, SettingError> {
    let variable = format!("{VARIABLE_PREFIX}{}", name.to_ascii_uppercase());
    let flag_name = name.replace('_', "-");
    let from_variable = variables(&variable);
    let Some(text) = flag.or(from_variable.as_deref()).or(default) else {
        return Err(SettingError::Missing {
            flag: flag_name,
            variable,
        });
    };
    T::parse(text).map_err(|message| SettingError::Invalid {
        flag: flag_name,
        variable,
        message,
    })
}

macro_rules! settings {
    ($($(#[doc = $doc:literal])* $name:ident: $kind:ty = $default:expr;)*) => {
        /// Entry host of burdockvale. Each flag has an environment variable of the same name with
        /// the prefix BURDOCKVALE_, such as BURDOCKVALE_HOST_ID; a flag goes before its variable.
        #[derive(Debug, Default, FromArgs)]
        pub struct Args {
            $($(#[doc = $doc])* #[argh(option)] pub $name: Option<String>,)*
        }

        /// Checked settings of an entry host.
        #[derive(Debug, Clone)]
        pub struct Settings {
            $($(#[doc = $doc])* pub $name: $kind,)*
        }

        impl Settings {
            /// Checks the flags, with `variables` for those not given.
            ///
            /// # Errors
            /// Names the first flag that is missing or not allowed.
            pub fn read(
                args: &Args,
                variables: &dyn Fn(&str) -> Option<String>,
            ) -> Result<Self, SettingError> {
                Ok(Settings {
                    $($name: read(
                        stringify!($name),
                        args.$name.as_deref(),
                        $default,
                        variables,
                    )?,)*
                })
            }
        }
    };
}

settings! {
    /// entry host id
    host_id: HostId = None;
    /// availability zone of this entry host
    zone: ZoneId = None;
    /// address for callers (default 0.0.0.0:8080)
    caller_addr: SocketAddr = Some("0.0.0.0:8080");
    /// address for operators, /metrics, /healthz and /readyz (default 127.0.0.1:9090)
    operator_addr: SocketAddr = Some("127.0.0.1:9090");
    /// key for operators, at least 16 characters; prefer the variable
    operator_key: Secret = None;
    /// address for other entry hosts, TCP and UDP (default 0.0.0.0:7946)
    peer_addr: SocketAddr = Some("0.0.0.0:7946");
    /// address that other entry hosts use for this one (default: peer-addr)
    peer_advertise: Option<SocketAddr> = Some("");
    /// peer addresses of some other entry hosts, separated by commas (default none)
    seeds: Vec<SocketAddr> = Some("");
    /// key shared by all entry hosts, at least 16 characters; prefer the variable
    cluster_key: Secret = None;
    /// address of the table service
    store_addr: SocketAddr = None;
    /// key for the table service, at least 16 characters; prefer the variable
    store_key: Secret = None;
    /// name of the table (default burdockvale)
    store_table: SmolStr = Some("burdockvale");
    /// time for one call of the table service in ms (default 1000)
    store_timeout_ms: Millis = Some("1000");
    /// local address of outgoing connections (default: any)
    bind_ip: Option<IpAddr> = Some("");
    /// placement policy (default planned)
    policy: SmolStr = Some("planned");
    /// largest number of caller connections (default 1024)
    max_connections: usize = Some("1024");
    /// time in ms during which a stopping host still accepts connections (default 5000)
    lame_duck_ms: Millis = Some("5000");
    /// time in ms for requests in progress when stopping (default 600000)
    drain_limit_ms: Millis = Some("600000");
    /// seed of randomised decisions (default: from the clock)
    random_seed: u64 = Some("0");
    /// log format, text or json (default text)
    log_format: LogFormat = Some("text");
    /// log filter, such as info or bv_server=debug (default info)
    log_filter: SmolStr = Some("info");
}

impl TryFrom<Args> for Settings {
    type Error = SettingError;
    fn try_from(args: Args) -> Result<Self, SettingError> {
        Settings::read(&args, &|name| std::env::var(name).ok())
    }
}

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            other => Err(ParseError {
                kind: "log format",
                value: other.to_owned(),
                expected: "\"text\" or \"json\"",
            }),
        }
    }
}

/// A key; its content does not appear in `Debug` output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(SmolStr);

impl Secret {
    const MIN_LEN: usize = 16;

    /// The key itself.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &[u8]) -> bool {
        subtle::ConstantTimeEq::ct_eq(self.0.as_bytes(), other).into()
    }
}

impl TryFrom<&str> for Secret {
    type Error = ParseError;
    fn try_from(text: &str) -> Result<Self, ParseError> {
        if text.len() < Secret::MIN_LEN || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(ParseError {
                kind: "key",
                value: String::new(),
                expected: "a key has at least 16 visible ASCII characters",
            });
        }
        Ok(Secret(text.into()))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
