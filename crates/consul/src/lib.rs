//! A sans-I/O client of Consul's catalog and health API. It builds queries ([`Query`]), decides
//! when to send them and to which agent ([`Watch`]), parses the instances in a response
//! ([`Instance`]), maps them to endpoints ([`Mapping`]) and detects changes since the last response
//! ([`Snapshot`]).
//!
//! A [`Watch`] follows one service with blocking queries to one of several agents. It handles
//! received bytes in pieces of any size and appends the actions that the caller must perform. A
//! response takes effect completely or not at all. It is parsed while it arrives, one instance at a
//! time, so that no response is buffered as a whole; an unchanged instance costs only a hash of its
//! bytes.
//!
//! Reference: the published HTTP API pages of Consul ("Blocking Queries", "Consistency Modes",
//! "Health", "Catalog", "Filtering"). Times are milliseconds of any monotonic clock.
//!
//! ```
//! use consul::{Action, Event, Lifecycle, Mapping, Query, Watch, WatchSettings};
//!
//! let settings = WatchSettings::new(Query::health("holds"), Mapping::default(), 1);
//! let mut watch = Watch::new(settings, 7);
//! let mut actions = Vec::new();
//! watch.handle(0.0, Event::TimerExpired, &mut actions);
//! assert!(matches!(
//!     &actions[0],
//!     Action::SendQuery { agent: 0, path } if path == "/v1/health/service/holds"
//! ));
//!
//! actions.clear();
//! let headers = [("x-consul-index", "41"), ("x-consul-knownleader", "true")];
//! watch.handle(1.0, Event::Head { status: 200, headers: &headers }, &mut actions);
//! let body = br#"[{"Node": {"Node": "n", "Address": "10.0.0.7"},
//!     "Service": {"ID": "s-1", "Service": "holds", "Port": 8443, "ModifyIndex": 12},
//!     "Checks": [{"CheckID": "service:s-1", "Status": "passing"}]}]"#;
//! watch.handle(1.0, Event::Body(body), &mut actions);
//! watch.handle(1.0, Event::End, &mut actions);
//! let report = actions.iter().find_map(|action| match action {
//!     Action::Report(report) => Some(report),
//!     _ => None,
//! });
//! let endpoint = &report.expect("a complete response is reported").updated[0];
//! assert_eq!((endpoint.key.as_str(), endpoint.lifecycle), ("s-1", Lifecycle::Ready));
//! ```

mod instance;
mod json_stream;
mod mapping;
mod query;
mod response_head;
mod snapshot;
mod watch;

pub use instance::{Check, CheckStatus, Instance, InstanceError, TaggedAddress, Weights};
pub use json_stream::{JsonArrayStream, JsonStreamError, MAX_ELEMENT_BYTES};
pub use mapping::{
    FieldSource, FieldSourceError, KeySource, Lifecycle, MappedEndpoint, Mapping, MetaRule,
    StatusLifecycles, TagRule, UnidentifiedInstance,
};
pub use query::{Api, Consistency, Query};
pub use response_head::ResponseHead;
pub use snapshot::{Change, MalformedInstances, Snapshot, TooManyInstances, MAX_INSTANCES};
pub use watch::{
    Action, Event, PollError, ResponseError, ServiceUpdate, Watch, WatchSettings,
    MAX_RESPONSE_BYTES,
};
