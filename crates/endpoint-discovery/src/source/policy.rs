//! Per-source policies, configured by operators, for when assertions take effect.

/// The kind of a source's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MatchBy {
    /// Endpoint ids.
    Id,
    /// Endpoint addresses, as reported by the sources that match by id.
    Address,
}

/// Flap damping: the delay before an endpoint that repeatedly ceases to be ready may be ready
/// again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlapDamping {
    /// The delay after the second return, in milliseconds; it doubles with each further return.
    pub initial_ms: f64,
    /// The maximum delay, in milliseconds.
    pub max_ms: f64,
    /// The half-life of the flap count, in milliseconds.
    pub half_life_ms: f64,
}

/// Which of a source's assertions take effect, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct SourcePolicy {
    /// The source's name in the log.
    pub name: String,
    /// Whether it may add endpoints that no other source lists.
    pub may_add_endpoints: bool,
    /// The kind of its keys.
    pub match_by: MatchBy,
    /// Panic threshold: removals are deferred if they exceed this share of the source's endpoints
    /// within `panic_window_ms`.
    pub panic_share: f64,
    /// The window in which removals are counted, in milliseconds.
    pub panic_window_ms: f64,
    /// Whether mass removals are deferred even if no other source reports the endpoints as ready.
    pub defers_undisputed_removals: bool,
    /// Time for which a deferred assertion must stand before it takes effect, in milliseconds.
    pub confirm_ms: f64,
    /// Whether assertions of a new epoch, such as after a decreased index, are deferred as well.
    pub defers_new_epochs: bool,
    /// Time for which the source's removals stay in effect once it is stale, in milliseconds.
    /// Drains have no such limit.
    pub retention_ms: f64,
    /// Flap damping, if any.
    pub damping: Option<FlapDamping>,
}

impl SourcePolicy {
    /// The policy of the platform's endpoint list: it adds endpoints, takes effect at once except
    /// for mass removals that another source disputes, and never expires.
    #[must_use]
    pub fn authoritative(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            may_add_endpoints: true,
            match_by: MatchBy::Id,
            panic_share: 0.5,
            panic_window_ms: 10_000.0,
            defers_undisputed_removals: false,
            confirm_ms: 30_000.0,
            defers_new_epochs: false,
            retention_ms: f64::INFINITY,
            damping: None,
        }
    }

    /// The policy of a source that may drain and remove endpoints but adds none.
    #[must_use]
    pub fn advisory(name: impl Into<String>) -> Self {
        Self {
            may_add_endpoints: false,
            defers_undisputed_removals: true,
            defers_new_epochs: true,
            retention_ms: 60_000.0,
            damping: Some(FlapDamping {
                initial_ms: 2_000.0,
                max_ms: 60_000.0,
                half_life_ms: 60_000.0,
            }),
            ..Self::authoritative(name)
        }
    }
}
