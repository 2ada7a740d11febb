//! The admin commands `OWNERS` and `GIVE`, and the metrics of leases. All texts and names here are
//! part of the admin protocol.

use std::fmt::{self, Write};
use std::rc::Rc;

use gossip::State;
use lease::{Event, Shard};

use super::settings::node_id;
use crate::node::cluster::{boot_ms, metric_lines, Cluster};

/// An error for which an operator's transfer (`GIVE`) is rejected. The texts are part of the admin protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferError {
    /// This process does not own the shard.
    NotOwned(Shard),
    /// The recipient is this node, not alive, or unknown.
    NoOtherLiveNode(String),
}

impl fmt::Display for TransferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotOwned(shard) => write!(f, "shard {shard} is not owned here"),
            Self::NoOtherLiveNode(name) => write!(f, "{name} is no other node that is there"),
        }
    }
}

impl std::error::Error for TransferError {}

impl Cluster {
    /// The response to `OWNERS` without its last line; `None` if this node does not take part in leases.
    #[must_use]
    pub fn owners(&self) -> Option<String> {
        let participant = self.leases.as_ref()?;
        let manager = participant.manager.borrow();
        let manager = manager.as_ref()?;
        let now_ms = boot_ms();
        let is_acceptor = manager.acceptors().contains(&node_id(&self.name));
        let acceptor = match (is_acceptor, manager.is_granting()) {
            (false, _) => "no",
            (true, true) => "grants",
            (true, false) => "silent",
        };
        let configuration = manager.configuration();
        let changing = if configuration.is_settled {
            ""
        } else {
            " changing"
        };
        let mut text = format!(
            "self {} {acceptor} {}{changing}\n",
            self.name, configuration.number
        );
        for owner in manager.owners(now_ms) {
            let name = owner
                .node
                .map_or("-".into(), |node| participant.name_of(node));
            let since_ms = (now_ms - owner.since_ms).max(0.0);
            let (shard, token, remaining_ms) = (owner.shard, owner.token, owner.remaining_ms);
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{shard} {name} {token} {remaining_ms:.0} {since_ms:.0}"
            );
        }
        Some(text)
    }

    /// Offers a shard that this process owns to another node (`GIVE`).
    ///
    /// # Errors
    ///
    /// This process does not own the shard, or `to` is this node, a suspect, or otherwise not a member in state
    /// [`State::Alive`].
    pub fn transfer_shard(self: &Rc<Self>, shard: Shard, to: &str) -> Result<(), TransferError> {
        if self.with_permit(shard, |_, _| ()).is_none() {
            return Err(TransferError::NotOwned(shard));
        }
        if !self.is_other_alive_node(to) {
            return Err(TransferError::NoOtherLiveNode(to.to_owned()));
        }
        self.handle_lease_event(Event::TransferShard {
            shard,
            to: node_id(to),
        });
        Ok(())
    }

    fn is_other_alive_node(&self, name: &str) -> bool {
        let is_alive = self
            .gossip
            .borrow()
            .members()
            .any(|member| member.name == name && member.state == State::Alive);
        is_alive && name != self.name
    }

    /// The metric lines of leases; empty if this node does not take part in them.
    pub(in crate::node::cluster) fn lease_metrics(&self) -> String {
        let Some(participant) = &self.leases else {
            return String::new();
        };
        let manager = participant.manager.borrow();
        let Some(manager) = manager.as_ref() else {
            return String::new();
        };
        let metrics = manager.metrics();
        let owned = manager
            .owners(boot_ms())
            .filter(|owner| owner.remaining_ms > 0.0)
            .count() as u64;
        let lines = [
            ("owned", owned, 'g'),
            ("won", metrics.acquired, 'c'),
            ("unheard", metrics.expired, 'c'),
            ("given", metrics.relinquished, 'c'),
            ("grants", metrics.grants, 'c'),
            ("refusals", metrics.rejections, 'c'),
            ("effects", metrics.effects, 'c'),
            ("stale", metrics.stale_effects, 'c'),
            ("malformed", metrics.malformed_messages, 'c'),
            ("words_out", metrics.sent_messages, 'c'),
            ("bytes_out", metrics.sent_bytes, 'c'),
        ];
        metric_lines("lease", &lines)
    }
}
