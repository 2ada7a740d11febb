//! One view of the servers, merged from any number of sources that lag, lie and vanish.
//!
//! [`Membership`] has no socket, clock or thread: it is fed [`Event`]s with their time and pushes [`Action`]s. What a
//! source last said of a server is its *latest* word; what is believed of it is its *effective* word, and the rules
//! for getting from one to the other (`source`) are what guards against a source that is wrong. What several sources'
//! effective words make of a server is a table ([`merge`]).
//!
//! Times are milliseconds of Unix time, as the starts of servers are.
//!
//! ```
//! use endpoint_discovery::{Action, Authority, Event, Host, List, Membership, State, Trust, Word};
//!
//! let mut membership = Membership::new(vec![Trust::roster("roster"), Trust::advisor("consul")]);
//! let mut actions = Vec::new();
//! let host = Host { address: "10.0.0.7:80".parse().ok(), ..Host::named("s-1") };
//! let word = Word { key: "s-1".into(), state: State::Ready, index: 1, host: Some(host) };
//! let list = List { authority: Authority::Fresh, history: 0, words: vec![word], left: vec![] };
//! membership.handle(1_000.0, Event::Listed { source: 0, list }, &mut actions);
//! assert!(matches!(&actions[0], Action::Changed(hosts) if hosts[0].state == State::Ready));
//!
//! // Consul alone knows that it drains: that is believed at once.
//! actions.clear();
//! let word = Word { key: "s-1".into(), state: State::Draining, index: 9, host: None };
//! let list = List { authority: Authority::Fresh, history: 0, words: vec![word], left: vec![] };
//! membership.handle(2_000.0, Event::Listed { source: 1, list }, &mut actions);
//! assert!(matches!(&actions[0], Action::Changed(hosts) if hosts[0].state == State::Draining));
//! ```

#![allow(
    clippy::struct_excessive_bools,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

mod host;
mod note;
mod rules;
mod source;
mod view;

pub use host::{Host, State, MOST_SERVERS};
pub use note::Note;
pub use rules::{merge, Age, Said, Verdict};
pub use source::{Authority, Damping, List, MatchBy, Trust, Word, MOST_TOMBSTONES};
pub use view::{Action, Event, Membership, SourceId};
