//! Settings from flags and environment variables, checked together so that all faults show at once.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Serialize;

use crate::credential::SharedCredential;

/// Prefix of the environment variable that belongs to a flag.
const VARIABLE_PREFIX: &str = "HICKORYSPAN_";

/// Exit code of a process whose settings are wrong.
pub const SETTINGS_EXIT_CODE: i32 = 2;

/// The environment variable that belongs to a flag: `--listen-address` is `HICKORYSPAN_LISTEN_ADDRESS`.
pub fn variable_name(flag: &str) -> String {
    format!("{VARIABLE_PREFIX}{}", flag.to_ascii_uppercase().replace('-', "_"))
}

/// One wrong setting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SettingFault {
    /// The flag without its dashes.
    pub flag: Arc<str>,
    /// The value found, if any; hidden for secrets.
    pub value: Option<Arc<str>>,
    /// What is accepted.
    pub accepted: Arc<str>,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "--{} ({}): ", self.flag, variable_name(&self.flag))?;
        match &self.value {
            Some(value) => write!(formatter, "{value:?} is not accepted; ")?,
            None => write!(formatter, "missing; ")?,
        }
        write!(formatter, "expected {}", self.accepted)
    }
}

/// All wrong settings of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, thiserror::Error)]
#[serde(transparent)]
pub struct SettingFaults(pub Vec<SettingFault>);

impl fmt::Display for SettingFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{} wrong settings:", self.0.len())?;
        self.0.iter().try_for_each(|fault| writeln!(formatter, "  {fault}"))
    }
}

/// A setting in force, for `--print-settings`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SettingValue {
    /// The flag without its dashes.
    pub flag: Arc<str>,
    /// Its value; hidden for secrets.
    pub value: Arc<str>,
}

impl fmt::Display for SettingValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "--{}={}", self.flag, self.value)
    }
}

type VariableLookup = Box<dyn Fn(&str) -> Option<String>>;

/// Reads settings one by one and gathers the faults; a flag wins over its variable.
pub struct SettingsReader {
    variables: VariableLookup,
    faults: Vec<SettingFault>,
    values: Vec<SettingValue>,
}

impl SettingsReader {
    /// A reader that looks up environment variables with `variables`.
    pub fn new(variables: impl Fn(&str) -> Option<String> + 'static) -> Self {
        Self { variables: Box::new(variables), faults: Vec::new(), values: Vec::new() }
    }

    /// A reader for the process's environment.
    pub fn from_environment() -> Self {
        Self::new(|name| std::env::var(name).ok())
    }

    fn text(&self, flag: &str, given: Option<&str>) -> Option<String> {
        given.map(str::to_owned).or_else(|| (self.variables)(&variable_name(flag)))
    }

    fn fault(&mut self, flag: &str, value: Option<&str>, accepted: &str) {
        let fault = SettingFault {
            flag: flag.into(),
            value: value.map(Into::into),
            accepted: accepted.into(),
        };
        self.faults.push(fault);
    }

    /// Records a fault that concerns several settings together.
    pub fn reject(&mut self, flag: &str, value: impl fmt::Display, accepted: &str) {
        self.fault(flag, Some(&value.to_string()), accepted);
    }

    fn record(&mut self, flag: &str, value: &str) {
        self.values.push(SettingValue { flag: flag.into(), value: value.into() });
    }

    /// A setting without a default; `accepted` says what values are allowed.
    pub fn required<T: FromStr>(
        &mut self,
        flag: &str,
        given: Option<&str>,
        accepted: &str,
        check: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let Some(text) = self.text(flag, given) else {
            self.fault(flag, None, accepted);
            return None;
        };
        self.parse(flag, &text, accepted, check)
    }

    /// A setting that may be absent.
    pub fn optional<T: FromStr>(
        &mut self,
        flag: &str,
        given: Option<&str>,
        accepted: &str,
        check: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let text = self.text(flag, given)?;
        self.parse(flag, &text, accepted, check)
    }

    /// A setting with a default.
    pub fn with_default<T: FromStr + fmt::Display>(
        &mut self,
        flag: &str,
        given: Option<&str>,
        default: T,
        accepted: &str,
        check: impl Fn(&T) -> bool,
    ) -> T {
        match self.text(flag, given) {
            Some(text) => self.parse(flag, &text, accepted, check).unwrap_or(default),
            None => {
                self.record(flag, &default.to_string());
                default
            }
        }
    }

    /// A duration such as `250ms` or `10s`, within bounds that `accepted` states.
    pub fn duration(
        &mut self,
        flag: &str,
        given: Option<&str>,
        default: std::time::Duration,
        bounds: std::ops::RangeInclusive<std::time::Duration>,
    ) -> std::time::Duration {
        let accepted = format!(
            "a duration from {} to {}",
            humantime::format_duration(*bounds.start()),
            humantime::format_duration(*bounds.end())
        );
        let default = humantime::Duration::from(default);
        let check = |value: &humantime::Duration| bounds.contains(&**value);
        *self.with_default(flag, given, default, &accepted, check)
    }

    /// A comma-separated list; every item must parse, and an absent setting is an empty list.
    pub fn list<T: FromStr>(&mut self, flag: &str, given: Option<&str>, accepted: &str) -> Vec<T> {
        let Some(text) = self.text(flag, given) else { return Vec::new() };
        let items: Result<Vec<T>, _> = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .map(str::parse)
            .collect();
        match items {
            Ok(items) => {
                self.record(flag, &text);
                items
            }
            Err(_) => {
                self.fault(flag, Some(&text), accepted);
                Vec::new()
            }
        }
    }

    /// The shared credential: from the file that `credential-file` names, or from `HICKORYSPAN_CREDENTIAL`.
    /// It has no flag of its own, because command lines are visible to other users of a host.
    pub fn credential(&mut self, file: Option<&str>) -> Option<SharedCredential> {
        const FLAG: &str = "credential-file";
        let accepted =
            "a file with at least 16 visible ASCII characters, or HICKORYSPAN_CREDENTIAL with them";
        let text = match self.text(FLAG, file) {
            Some(path) => match std::fs::read_to_string(&path) {
                Ok(text) => Some(text),
                Err(error) => {
                    self.fault(FLAG, Some(&format!("{path}: {error}")), accepted);
                    return None;
                }
            },
            None => (self.variables)("HICKORYSPAN_CREDENTIAL"),
        };
        match text.as_deref().map(SharedCredential::new) {
            Some(Ok(credential)) => {
                self.record(FLAG, "(hidden)");
                Some(credential)
            }
            Some(Err(_)) => {
                self.fault(FLAG, Some("(hidden)"), accepted);
                None
            }
            None => {
                self.fault(FLAG, None, accepted);
                None
            }
        }
    }

    fn parse<T: FromStr>(
        &mut self,
        flag: &str,
        text: &str,
        accepted: &str,
        check: impl Fn(&T) -> bool,
    ) -> Option<T> {
        match text.trim().parse::<T>() {
            Ok(value) if check(&value) => {
                self.record(flag, text.trim());
                Some(value)
            }
            _ => {
                self.fault(flag, Some(text), accepted);
                None
            }
        }
    }

    /// The settings in force, or all faults.
    pub fn finish(self) -> Result<Vec<SettingValue>, SettingFaults> {
        if self.faults.is_empty() { Ok(self.values) } else { Err(SettingFaults(self.faults)) }
    }
}
