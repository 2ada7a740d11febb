//! Client of the platform's discovery: follows the endpoint list with a watch that is reopened
//! whenever it ends, times out or delivers an invalid list.

pub mod decode;
mod json_objects;
mod timing;
mod watch;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch::Receiver;

use crate::node::admin::log;
use crate::node::discovery::updates::EndpointUpdates;
use timing::{WatchTiming, FIRST_RETRY_DELAY};
use watch::{run_watch, WatchError, WatchState};

pub use timing::PROPAGATION_DEADLINE;

/// Mode in which changes of the endpoint list reach the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Discovery pushes changes, and the client keeps a watch open.
    Pushed {
        /// The platform's drain grace, within which a change must take effect.
        drain_grace: Duration,
    },
    /// The balancer subscribes to changes: at each subscription, the client opens one watch and
    /// reports when it ends.
    Subscribed,
}

/// Follows the endpoint list at the latest address; never completes. Dropping the future closes the
/// watch.
pub async fn follow(
    updates: Rc<EndpointUpdates>,
    addresses: Receiver<SocketAddr>,
    delivery: Delivery,
    generation: Option<u64>,
) {
    let timing = match delivery {
        Delivery::Pushed { drain_grace } => WatchTiming::pushed(drain_grace),
        Delivery::Subscribed => WatchTiming::subscribed(),
    };
    let mut follower = Follower {
        updates,
        addresses,
        delivery,
        timing,
        retry_delay: FIRST_RETRY_DELAY,
    };
    follower.run(generation).await;
}

/// Time and address of the next watch.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NextWatch {
    /// At the latest address: when the balancer subscribes, or at once if lists are pushed.
    Reopen,
    /// At once, because the address of discovery has changed.
    OpenAtNewAddress,
}

struct Follower {
    updates: Rc<EndpointUpdates>,
    addresses: Receiver<SocketAddr>,
    delivery: Delivery,
    timing: WatchTiming,
    /// The latest delay before an attempt; used only if lists are pushed.
    retry_delay: Duration,
}

impl Follower {
    async fn run(&mut self, generation: Option<u64>) {
        let mut state = WatchState {
            generation,
            has_received: false,
        };
        let mut last_address = *self.addresses.borrow_and_update();
        let mut next = NextWatch::Reopen;
        loop {
            if next == NextWatch::Reopen {
                self.wait_for_subscription().await;
            }
            let address = *self.addresses.borrow_and_update();
            if std::mem::replace(&mut last_address, address) != address {
                // Generations at another address may not be comparable, so the complete list is
                // requested.
                state.generation = None;
                self.retry_delay = FIRST_RETRY_DELAY;
            }
            state.has_received = false;
            let open_timeout = self.timing.open_timeout;
            let ended = tokio::select! {
                Err(error) = run_watch(&self.updates, address, open_timeout, &mut state) => Some(error),
                Ok(()) = self.addresses.changed() => None,
            };
            next = match ended {
                None => NextWatch::OpenAtNewAddress,
                Some(error) => self.handle_failure(&error, &mut state).await,
            };
        }
    }

    /// Waits until a watch may be opened: with subscribed lists, until the balancer subscribes or the
    /// address changes.
    async fn wait_for_subscription(&mut self) {
        if self.delivery == Delivery::Subscribed {
            tokio::select! {
                () = self.updates.dispatcher().subscribe_requested.notified() => {}
                Ok(()) = self.addresses.changed() => {}
            }
        }
    }

    async fn handle_failure(&mut self, error: &WatchError, state: &mut WatchState) -> NextWatch {
        log::line(format_args!("endpoint list: the watch ended: {error}"));
        let is_invalid = matches!(error, WatchError::Invalid(_));
        if is_invalid {
            state.generation = None;
        }
        self.updates.mark_list_lost();
        if self.delivery == Delivery::Subscribed {
            self.updates.dispatcher().endpoint_list_failed();
            return NextWatch::Reopen;
        }
        self.retry_delay = if state.has_received && !is_invalid {
            FIRST_RETRY_DELAY
        } else {
            (self.retry_delay * 2).min(self.timing.max_retry_delay)
        };
        // A new address ends the delay, because the delay applies to an address no longer in use.
        tokio::select! {
            () = tokio::time::sleep(self.retry_delay) => NextWatch::Reopen,
            Ok(()) = self.addresses.changed() => NextWatch::OpenAtNewAddress,
        }
    }
}
