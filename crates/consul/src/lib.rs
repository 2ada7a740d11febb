//! Consul's catalogue and health API as a reader needs it, without a socket: what to ask ([`Query`]), when and whom
//! ([`Watch`]), what an answer says ([`Instance`], [`Mapping`]) and what has changed since the last one.
//!
//! A [`Watch`] follows one service by blocking queries through several agents. It is fed what comes over the wire, in
//! any pieces, and pushes what is to be done. An answer counts whole or not at all. It is read as it comes, one
//! instance at a time, and an instance that has not changed costs a look at its bytes: so an answer's size bounds no
//! memory.
//!
//! Source: the published HTTP API pages of Consul ("Blocking Queries", "Consistency Modes", "Health", "Catalog",
//! "Filtering"). Times are milliseconds of any clock that never runs backwards.
//!
//! ```
//! use consul::{Action, Event, Mapping, Query, State, Watch, WatchSettings};
//!
//! let settings = WatchSettings::new(Query::health("holds"), Mapping::default(), 1);
//! let mut watch = Watch::new(settings, 7);
//! let mut actions = Vec::new();
//! watch.handle(0.0, Event::Due, &mut actions);
//! assert!(matches!(&actions[0], Action::Ask { agent: 0, path, .. } if path == "/v1/health/service/holds"));
//!
//! actions.clear();
//! let head = [("x-consul-index", "41"), ("x-consul-knownleader", "true")];
//! watch.handle(1.0, Event::Head { status: 200, headers: &head }, &mut actions);
//! let body = br#"[{"Node": {"Node": "n", "Address": "10.0.0.7"},
//!     "Service": {"ID": "s-1", "Service": "holds", "Port": 8443, "ModifyIndex": 12},
//!     "Checks": [{"CheckID": "service:s-1", "Status": "passing"}]}]"#;
//! watch.handle(1.0, Event::Body(body), &mut actions);
//! watch.handle(1.0, Event::End, &mut actions);
//! let news = actions.iter().find_map(|action| if let Action::Tell(news) = action { Some(news) } else { None });
//! let news = news.expect("the answer is whole");
//! assert_eq!((news.words[0].key.as_str(), news.words[0].state), ("s-1", State::Ready));
//! ```

mod elements;
mod head;
mod instance;
mod mapping;
mod query;
mod watch;
mod world;

pub use elements::{Elements, NotAnArray, MOST_ELEMENT};
pub use head::Head;
pub use instance::{Check, Instance, Malformed, Status};
pub use mapping::{BadPlace, Facts, Mapping, Named, Place, Said, State, Unusable};
pub use query::{Api, Consistency, Query};
pub use watch::{Action, Event, News, Trouble, Watch, WatchSettings, MOST_ANSWER};
pub use world::{Change, World, MOST_INSTANCES};
