//! Merges the endpoints that several sources report into one view. The sources may lag, be wrong or
//! disappear.
//!
//! [`EndpointView`] performs no I/O and reads no clock: it handles [`Event`]s with their time and
//! appends [`Action`]s. The last assertion of a source about an endpoint is its *latest* one; the
//! one that the view uses is its *effective* one. The `source` module decides when the latest
//! assertion becomes effective, which protects against faulty sources; [`merge()`] combines the
//! effective assertions of all sources into one outcome.
//!
//! Times are milliseconds of Unix time, like the start times of servers.
//!
//! ```
//! use endpoint_discovery::{
//!     Action, Assertion, Endpoint, EndpointView, Event, Freshness, Lifecycle, SourcePolicy,
//!     SourceUpdate,
//! };
//!
//! let update = |assertion| SourceUpdate {
//!     freshness: Freshness::Current,
//!     epoch: 0,
//!     assertions: vec![assertion],
//!     removals: vec![],
//! };
//! let mut view = EndpointView::new(vec![
//!     SourcePolicy::authoritative("endpoint list"),
//!     SourcePolicy::advisory("consul"),
//! ]);
//! let mut actions = Vec::new();
//! let endpoint = Endpoint { address: "10.0.0.7:80".parse().ok(), ..Endpoint::new("s-1") };
//! let ready = Assertion {
//!     key: "s-1".into(),
//!     lifecycle: Lifecycle::Ready,
//!     version: 1,
//!     endpoint: Some(endpoint),
//! };
//! view.handle(1_000.0, Event::SourceUpdated { source: 0, update: update(ready) }, &mut actions);
//! assert!(matches!(
//!     &actions[0],
//!     Action::Publish(endpoints) if endpoints[0].lifecycle == Lifecycle::Ready
//! ));
//!
//! // A drain takes effect at once, even if only Consul reports it.
//! actions.clear();
//! let draining = Assertion {
//!     key: "s-1".into(),
//!     lifecycle: Lifecycle::Draining,
//!     version: 9,
//!     endpoint: None,
//! };
//! view.handle(2_000.0, Event::SourceUpdated { source: 1, update: update(draining) }, &mut actions);
//! assert!(matches!(
//!     &actions[0],
//!     Action::Publish(endpoints) if endpoints[0].lifecycle == Lifecycle::Draining
//! ));
//! ```

mod endpoint;
mod log_event;
mod merge;
mod source;
mod view;

pub use endpoint::{Endpoint, Lifecycle, MAX_ENDPOINTS};
pub use log_event::{LogEvent, SourceLifecycle};
pub use merge::{merge, EffectiveAssertion, MergeOutcome, SourceStatus};
pub use source::{
    Assertion, FlapDamping, Freshness, MatchBy, Removal, SourcePolicy, SourceUpdate, MAX_TOMBSTONES,
};
pub use view::{Action, EndpointView, Event, SourceId};
