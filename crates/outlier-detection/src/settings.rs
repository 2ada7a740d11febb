//! The settings of outlier detection and their ranges.

use std::error::Error;
use std::fmt;

/// Settings of outlier detection: when nodes report, and when a server is an outlier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Interval at which a node reports and evaluates, in milliseconds. `turn_ms` in the operators' file.
    pub interval_ms: f64,
    /// Time after which an attempt counts for half as much, in milliseconds.
    pub half_life_ms: f64,
    /// Number of nodes that have to report a server as failing before it is an outlier. In a cluster of fewer than
    /// twice as many nodes, half of the nodes suffice, but no fewer than two. `reporters` in the operators' file.
    pub min_reporters: usize,
    /// Minimum failed fraction of all reported attempts at a server for it to be an outlier. `share` in the operators'
    /// file.
    pub min_failed_fraction: f64,
    /// Maximum weight of an outlier; in large clusters the weight is lower. `floor` in the operators' file.
    pub max_outlier_weight: f64,
    /// Maximum fraction of servers that may be outliers; one outlier is always allowed. The report of a node that finds
    /// a larger fraction failing is rejected. `panic_share` in the operators' file.
    pub max_outlier_fraction: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interval_ms: 1_000.0,
            half_life_ms: 10_000.0,
            min_reporters: 3,
            min_failed_fraction: 0.5,
            max_outlier_weight: 0.05,
            max_outlier_fraction: 0.3,
        }
    }
}

/// A setting that is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsError {
    key: &'static str,
}

impl SettingsError {
    /// The setting's key in the operators' file.
    #[must_use]
    pub fn key(&self) -> &'static str {
        self.key
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is out of range", self.key)
    }
}

impl Error for SettingsError {}

impl Settings {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let Self {
            interval_ms,
            half_life_ms,
            min_reporters,
            min_failed_fraction,
            max_outlier_weight,
            max_outlier_fraction,
        } = self;
        require((100.0..=60_000.0).contains(interval_ms), "turn_ms")?;
        require((1_000.0..=600_000.0).contains(half_life_ms), "half_life_ms")?;
        require((2..=16).contains(min_reporters), "reporters")?;
        require((0.1..=1.0).contains(min_failed_fraction), "share")?;
        require((0.0001..=0.5).contains(max_outlier_weight), "floor")?;
        require((0.0..=0.5).contains(max_outlier_fraction), "panic_share")
    }
}

fn require(is_in_range: bool, key: &'static str) -> Result<(), SettingsError> {
    if is_in_range {
        Ok(())
    } else {
        Err(SettingsError { key })
    }
}
