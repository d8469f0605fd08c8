//! Settings from flags and environment variables. They are checked together, so that all faults are reported at once.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Serialize;

use crate::credential::SharedCredential;

/// Prefix of the environment variables that correspond to flags.
const VARIABLE_PREFIX: &str = "HICKORYSPAN_";

/// Exit code of a process whose settings are wrong.
pub const SETTINGS_EXIT_CODE: i32 = 2;

/// Returns the environment variable that corresponds to a flag, such as `HICKORYSPAN_LISTEN_ADDRESS` for
/// `listen-address`.
pub fn variable_name(flag: &str) -> String {
    format!("{VARIABLE_PREFIX}{}", flag.to_ascii_uppercase().replace('-', "_"))
}

/// A missing setting or one with a value that is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SettingFault {
    /// Flag without its leading dashes.
    pub flag: Arc<str>,
    /// Value of the setting, or `None` if it is missing. Secrets are hidden.
    pub value: Option<Arc<str>>,
    /// Description of the accepted values.
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

/// All faults in the settings of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, thiserror::Error)]
#[serde(transparent)]
pub struct SettingFaults(pub Vec<SettingFault>);

impl fmt::Display for SettingFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{} wrong settings:", self.0.len())?;
        self.0.iter().try_for_each(|fault| writeln!(formatter, "  {fault}"))
    }
}

/// An effective setting, as `--print-settings` prints it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SettingValue {
    /// Flag without its leading dashes.
    pub flag: Arc<str>,
    /// Effective value. Secrets are hidden.
    pub value: Arc<str>,
}

impl fmt::Display for SettingValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "--{}={}", self.flag, self.value)
    }
}

type VariableLookup = Box<dyn Fn(&str) -> Option<String>>;

/// Reads settings one by one and collects their faults. A flag takes precedence over its environment variable.
pub struct SettingsReader {
    variables: VariableLookup,
    faults: Vec<SettingFault>,
    values: Vec<SettingValue>,
}

impl SettingsReader {
    /// Creates a reader that looks up environment variables with `variables`.
    pub fn new(variables: impl Fn(&str) -> Option<String> + 'static) -> Self {
        Self { variables: Box::new(variables), faults: Vec::new(), values: Vec::new() }
    }

    /// Creates a reader for the environment of the process.
    pub fn from_environment() -> Self {
        Self::new(|name| std::env::var(name).ok())
    }

    fn text(&self, flag: &str, flag_value: Option<&str>) -> Option<String> {
        flag_value.map(str::to_owned).or_else(|| (self.variables)(&variable_name(flag)))
    }

    fn add_fault(&mut self, flag: &str, value: Option<&str>, accepted: &str) {
        let fault = SettingFault {
            flag: flag.into(),
            value: value.map(Into::into),
            accepted: accepted.into(),
        };
        self.faults.push(fault);
    }

    /// Adds a fault found after parsing, such as a conflict between several settings.
    pub fn reject(&mut self, flag: &str, value: impl fmt::Display, accepted: &str) {
        self.add_fault(flag, Some(&value.to_string()), accepted);
    }

    fn record(&mut self, flag: &str, value: &str) {
        self.values.push(SettingValue { flag: flag.into(), value: value.into() });
    }

    /// Reads a mandatory setting. `accepted` describes the values that `check` accepts. Returns `None` after a fault.
    pub fn required<T: FromStr>(
        &mut self,
        flag: &str,
        flag_value: Option<&str>,
        accepted: &str,
        check: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let Some(text) = self.text(flag, flag_value) else {
            self.add_fault(flag, None, accepted);
            return None;
        };
        self.parse(flag, &text, accepted, check)
    }

    /// Reads an optional setting. Returns `None` if it is absent or after a fault.
    pub fn optional<T: FromStr>(
        &mut self,
        flag: &str,
        flag_value: Option<&str>,
        accepted: &str,
        check: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let text = self.text(flag, flag_value)?;
        self.parse(flag, &text, accepted, check)
    }

    /// Reads a setting with a default value, which is also returned after a fault.
    pub fn with_default<T: FromStr + fmt::Display>(
        &mut self,
        flag: &str,
        flag_value: Option<&str>,
        default: T,
        accepted: &str,
        check: impl Fn(&T) -> bool,
    ) -> T {
        match self.text(flag, flag_value) {
            Some(text) => self.parse(flag, &text, accepted, check).unwrap_or(default),
            None => {
                self.record(flag, &default.to_string());
                default
            }
        }
    }

    /// Reads a duration such as `250ms` or `10s`. The text of a fault states the `bounds`.
    pub fn duration(
        &mut self,
        flag: &str,
        flag_value: Option<&str>,
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
        *self.with_default(flag, flag_value, default, &accepted, check)
    }

    /// Reads a comma-separated list, in which every item must be valid. Returns an empty list if the setting is absent
    /// or after a fault.
    pub fn list<T: FromStr>(
        &mut self,
        flag: &str,
        flag_value: Option<&str>,
        accepted: &str,
    ) -> Vec<T> {
        let Some(text) = self.text(flag, flag_value) else { return Vec::new() };
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
                self.add_fault(flag, Some(&text), accepted);
                Vec::new()
            }
        }
    }

    /// Reads the shared credential from the file named by `credential-file`, or else from `HICKORYSPAN_CREDENTIAL`.
    /// The credential itself cannot be a flag, because command lines are visible to other users of a host.
    pub fn credential(&mut self, file: Option<&str>) -> Option<SharedCredential> {
        const FLAG: &str = "credential-file";
        let accepted =
            "a file with at least 16 visible ASCII characters, or HICKORYSPAN_CREDENTIAL with them";
        let text = match self.text(FLAG, file) {
            Some(path) => match std::fs::read_to_string(&path) {
                Ok(text) => Some(text),
                Err(error) => {
                    self.add_fault(FLAG, Some(&format!("{path}: {error}")), accepted);
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
                self.add_fault(FLAG, Some("(hidden)"), accepted);
                None
            }
            None => {
                self.add_fault(FLAG, None, accepted);
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
                self.add_fault(flag, Some(text), accepted);
                None
            }
        }
    }

    /// Returns the effective settings, or all faults if there are any.
    pub fn finish(self) -> Result<Vec<SettingValue>, SettingFaults> {
        if self.faults.is_empty() { Ok(self.values) } else { Err(SettingFaults(self.faults)) }
    }
}
