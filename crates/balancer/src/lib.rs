//! The decisions of a load balancer that distributes requests over HTTP servers.
//!
//! A [`Balancer`] is the decision logic of one node, without a clock, threads or I/O. It is created from
//! [`Settings`] and a seed, receives events together with their times, and returns the actions that the
//! node must carry out. Its core is HSQ (Islam, "Network Load Balancing Methods", section IV.E): each
//! ready server has a count, and the server with the lowest count gets the request.
//!
//! | module | decides |
//! | --- | --- |
//! | `subscription` | which servers there are, and when to subscribe to the list again |
//! | `selection`, `sampling` | which server gets a request |
//! | `admission` | which requests are shed under overload |
//! | `retry`, `request` | whether a request is attempted again, and its final answer |
//! | `queue` | when a request of a class that is ordered by key may run |
//! | `outlier` | which servers are ejected |
//! | `slow_start` | how many requests a warming server gets |
//! | `health_check` | whether servers are polled for their load before a send |
//! | `idle_connections` | whether an idle connection is used |
//! | `latency`, `traffic`, `window` | nothing; they hold the estimates that the other modules use |
//!
//! A decision allocates nothing once the buffers have grown to their working size. Small functions that
//! run for each request or candidate are marked `#[inline]`, because they are called across modules;
//! without it a decision costs 5 to 10 percent more.
//!
//! # Example
//!
//! A node's event loop calls [`Balancer::handle`] and carries out the actions:
//!
//! ```
//! use balancer::{
//!     Action, AttemptResult, Availability, Balancer, Class, Event, Idempotency, Outcome, Request,
//!     RequestId, ServerEntry, ServerId, ServerListUpdate, Settings,
//! };
//!
//! let mut settings = Settings::new(vec![Class::new(200.0, 600.0, Idempotency::Idempotent)]);
//! settings.nodes = 3;
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // Discovery reports two servers.
//! let servers = (0..2).map(|i| ServerEntry::new(ServerId(i), Availability::Ready)).collect();
//! balancer.handle(0.0, Event::ServerList(ServerListUpdate::Full(servers)), &mut actions);
//!
//! // A client sends a request; the balancer selects the server.
//! let request = Request::new(RequestId(7), 0, 600.0);
//! balancer.handle(1.0, Event::Request(request), &mut actions);
//! let Some(Action::Send { server, .. }) = actions.pop() else { panic!("nothing sent") };
//!
//! // The server answers. A load report in the response would become the server's count.
//! let outcome = Outcome {
//!     request: RequestId(7),
//!     attempt: 0,
//!     elapsed_ms: 18.5,
//!     result: AttemptResult::Served,
//!     complete: true,
//!     report: None,
//! };
//! balancer.handle(19.5, Event::Outcome(outcome), &mut actions);
//! # let _ = server;
//! # Ok::<(), balancer::SettingsError>(())
//! ```

mod action;
mod admission;
mod balancer;
mod event;
mod health_check;
mod idle_connections;
mod latency;
mod outlier;
mod queue;
mod request;
mod retry;
mod sampling;
mod selection;
mod server;
mod server_list;
mod settings;
mod slow_start;
mod subscription;
mod timer;
mod traffic;
mod window;

pub use action::{Action, LogEvent};
pub use balancer::Balancer;
pub use event::{AttemptResult, Event, LoadReport, Outcome, Request, RequestId};
pub use server_list::{Availability, ServerEntry, ServerId, ServerListUpdate};
pub use settings::{
    Class, DiscoveryMode, Idempotency, KeyScope, ReportSource, RetryBudget, Settings, SettingsError,
};
pub use subscription::MAX_RESUBSCRIBE_DELAY_MS;
