//! Parses the platform's settings of a balancer, which are JSON and have the same keys in the simulator
//! and in a node's configuration file.
//!
//! A missing key keeps the default of [`balancer::Settings`]; an unknown key is ignored.

use std::fmt;

use balancer::{
    Class, DiscoveryMode, Idempotency, KeyScope, ReportSource, RetryBudget, Settings, SettingsError,
};
use serde_json::Value;

/// Error in the settings.
#[derive(Debug)]
pub enum SettingsFormatError {
    /// The text is not JSON.
    Json(serde_json::Error),
    /// The value is not a JSON object.
    NotAnObject,
    /// A class has no deadline. There is no safe default for the time that its clients wait.
    MissingDeadline,
    /// A key has a value of the wrong type.
    WrongType {
        /// The key.
        key: String,
        /// The expected type, with its article.
        expected: &'static str,
    },
    /// A value is out of range.
    OutOfRange(SettingsError),
}

impl fmt::Display for SettingsFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => write!(f, "`facts`: {error}"),
            Self::NotAnObject => f.write_str("`facts` is not a JSON object"),
            Self::MissingDeadline => f.write_str("`facts`: a class has no `deadline_ms`"),
            Self::WrongType { key, expected } => write!(f, "`facts`: `{key}` is not {expected}"),
            Self::OutOfRange(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for SettingsFormatError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Json(error) => Some(error),
            Self::OutOfRange(error) => Some(error),
            Self::NotAnObject | Self::MissingDeadline | Self::WrongType { .. } => None,
        }
    }
}

/// Parses settings. [`Settings::validate`] checks whether their values are in range.
///
/// # Errors
///
/// The value is not an object, a class has no deadline, or a key has a value of the wrong type.
pub fn parse_settings(value: &Value) -> Result<Settings, SettingsFormatError> {
    if !value.is_object() {
        return Err(SettingsFormatError::NotAnObject);
    }
    let classes = array_elements(&value["classes"]).iter().map(parse_class);
    let mut settings = Settings::new(classes.collect::<Result<_, _>>()?);
    for tenant in array_elements(&value["parties"]) {
        let mut quota_per_s = f64::MAX;
        read_number(tenant, "quota_per_s", &mut quota_per_s)?;
        settings.tenant_quotas_per_s.push(quota_per_s);
    }
    read_integer(value, "n_instances", &mut settings.nodes)?;
    read_integer(value, "me", &mut settings.node_index)?;
    read_integer(value, "az", &mut settings.zone)?;
    settings.machine_kinds = array_elements(&value["kinds"]).len().max(1);
    if value["discovery"] == "subscribe" {
        settings.discovery = DiscoveryMode::Subscribe;
    }
    settings.report_source = match value["stats"]["source"].as_str() {
        Some("on_probe") => ReportSource::HealthCheck,
        Some("off") => ReportSource::Off,
        _ => ReportSource::Inline,
    };
    parse_rules(&value["rules"], &mut settings)?;
    let allowed = &value["allowed"];
    read_integer(allowed, "max_attempts", &mut settings.max_attempts)?;
    read_flag(allowed, "cancel", &mut settings.cancel)?;
    read_flag(allowed, "probes", &mut settings.health_checks)?;
    let prices = &value["prices"];
    read_number(prices, "probe", &mut settings.health_check_price)?;
    Ok(settings)
}

fn parse_rules(rules: &Value, settings: &mut Settings) -> Result<(), SettingsFormatError> {
    read_number(rules, "ask_within_ms", &mut settings.max_poll_interval_ms)?;
    read_number(rules, "cold_from", &mut settings.slow_start_fraction)?;
    read_number(rules, "cold_ms", &mut settings.slow_start_ms)?;
    read_number(rules, "tip_multiple", &mut settings.collapse_multiple)?;
    read_number(rules, "tip_after_ms", &mut settings.collapse_after_ms)?;
    read_number(rules, "key_quiet_ms", &mut settings.key_cooldown_ms)?;
    settings.retry_budget = parse_retry_budget(rules)?;
    Ok(())
}

/// Parses the retry budget; `None` if its window is not set.
fn parse_retry_budget(rules: &Value) -> Result<Option<RetryBudget>, SettingsFormatError> {
    let mut budget = RetryBudget {
        min_retries: 0.0,
        retries_per_request: 0.0,
        window_ms: f64::NAN,
    };
    read_number(rules, "free_resends", &mut budget.min_retries)?;
    read_number(rules, "extra_per_request", &mut budget.retries_per_request)?;
    read_number(rules, "budget_span_ms", &mut budget.window_ms)?;
    Ok((!budget.window_ms.is_nan()).then_some(budget))
}

fn parse_class(value: &Value) -> Result<Class, SettingsFormatError> {
    let (mut objective_ms, mut deadline_ms) = (f64::NAN, f64::NAN);
    read_number(value, "deadline_ms", &mut deadline_ms)?;
    if deadline_ms.is_nan() {
        return Err(SettingsFormatError::MissingDeadline);
    }
    read_number(value, "promise_ms", &mut objective_ms)?;
    if objective_ms.is_nan() {
        objective_ms = deadline_ms;
    }
    let mut class = Class::new(objective_ms, deadline_ms, parse_idempotency(value)?);
    read_number(value, "worth", &mut class.priority_weight)?;
    read_flag(value, "by_arrival", &mut class.ordered_by_key)?;
    Ok(class)
}

fn parse_idempotency(class: &Value) -> Result<Idempotency, SettingsFormatError> {
    let mut window_ms = 0.0;
    read_number(class, "dedup_window_ms", &mut window_ms)?;
    Ok(match class["effect"].as_str() {
        Some("retryable") => Idempotency::Idempotent,
        Some("dedup") => Idempotency::IdempotencyKey {
            scope: match class["group"].as_str() {
                Some("all") => KeyScope::All,
                Some("zone") => KeyScope::Zone,
                _ => KeyScope::Cell,
            },
            window_ms,
        },
        // An unknown or missing effect gets the most restrictive treatment.
        _ => Idempotency::NonIdempotent,
    })
}

/// The elements of an array; empty if the value is not an array.
fn array_elements(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn read_number(object: &Value, key: &str, target: &mut f64) -> Result<(), SettingsFormatError> {
    read(object, key, "a number", Value::as_f64, target)
}

fn read_integer(object: &Value, key: &str, target: &mut usize) -> Result<(), SettingsFormatError> {
    let integer = |value: &Value| value.as_u64().map(|integer| integer as usize);
    read(object, key, "a non-negative integer", integer, target)
}

fn read_flag(object: &Value, key: &str, target: &mut bool) -> Result<(), SettingsFormatError> {
    read(object, key, "a boolean", Value::as_bool, target)
}

/// Reads the value of a key into `target`, which stays unchanged if the key is missing or null.
fn read<T>(
    object: &Value,
    key: &str,
    expected: &'static str,
    convert: impl Fn(&Value) -> Option<T>,
    target: &mut T,
) -> Result<(), SettingsFormatError> {
    let value = &object[key];
    if value.is_null() {
        return Ok(());
    }
    *target = convert(value).ok_or_else(|| SettingsFormatError::WrongType {
        key: key.to_owned(),
        expected,
    })?;
    Ok(())
}
