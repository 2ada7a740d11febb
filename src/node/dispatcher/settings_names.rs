//! Maps the names in requests and endpoint lists to the indices that the settings use.

use std::time::Duration;

use crate::node::config::{Config, Names};
use balancer::{Class, Idempotency};

/// Maximum timeout of a class in milliseconds, so that the conversion to `Duration` cannot overflow.
const MAX_CLASS_TIMEOUT_MS: f64 = 1e9;

/// The names of classes, tenants, zones and machine kinds, each with its index in the settings.
pub struct SettingNames {
    /// Names of request classes.
    pub classes: Names,
    /// The rules of each class, by the index of the class.
    pub rules: Vec<ClassRule>,
    /// Names of tenants.
    pub tenants: Names,
    /// Names of zones.
    pub zones: Names,
    /// Names of machine kinds.
    pub machine_kinds: Names,
}

impl SettingNames {
    /// The names and rules of a configuration.
    pub(super) fn new(config: &Config) -> Self {
        Self {
            classes: config.classes.clone(),
            rules: config.settings.classes.iter().map(ClassRule::new).collect(),
            tenants: config.tenants.clone(),
            zones: config.zones.clone(),
            machine_kinds: config.machine_kinds.clone(),
        }
    }

    /// The maximum timeout of a request of any class.
    #[must_use]
    pub fn max_timeout(&self) -> Duration {
        self.rules
            .iter()
            .map(|rule| rule.max_timeout)
            .max()
            .unwrap_or_default()
    }
}

/// The rules for the requests of a class.
pub struct ClassRule {
    /// Whether and for how long a request may be repeated.
    pub idempotency: Idempotency,
    /// The maximum timeout of a request.
    pub max_timeout: Duration,
}

impl ClassRule {
    fn new(class: &Class) -> Self {
        Self {
            idempotency: class.idempotency,
            max_timeout: Duration::from_secs_f64(class.deadline_ms.min(MAX_CLASS_TIMEOUT_MS) / 1e3),
        }
    }
}
