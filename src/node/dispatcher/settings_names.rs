//! The names that requests and endpoint lists use for what the settings number.

use std::time::Duration;

use crate::node::config::{Config, Names};
use balancer::{Class, Idempotency};

/// The longest timeout of a class in milliseconds, so that it stays a valid `Duration`.
const MAX_CLASS_TIMEOUT_MS: f64 = 1e9;

/// The names of classes, tenants, zones and machine kinds. Each stands for an index of the settings.
pub struct SettingNames {
    /// Classes of requests.
    pub classes: Names,
    /// The rule of each class, by the class's index.
    pub rules: Vec<ClassRule>,
    /// Tenants.
    pub tenants: Names,
    /// Zones.
    pub zones: Names,
    /// Machine kinds.
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

    /// The longest timeout that a request of any class may have.
    #[must_use]
    pub fn max_timeout(&self) -> Duration {
        self.rules
            .iter()
            .map(|rule| rule.max_timeout)
            .max()
            .unwrap_or_default()
    }
}

/// What holds for the requests of a class.
pub struct ClassRule {
    /// Whether a request may be repeated.
    pub idempotency: Idempotency,
    /// The longest timeout of a request.
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
