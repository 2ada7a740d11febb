//! The response to the admin command `MEMBERS`, and the metrics of the cluster. The formats of both are external
//! interfaces.

use std::fmt::Write;

use gossip::{Gossip, Member, RejectReason, State};

use super::{boot_ms, metric_lines, Cluster};

/// Placeholder for an unknown value.
const UNKNOWN: &str = "-";

impl Cluster {
    /// The response to `MEMBERS` without its last line: this node first, then the others by name.
    #[must_use]
    pub fn members(&self) -> String {
        let gossip = self.gossip.borrow();
        let now_ms = boot_ms();
        let mut own_line = String::new();
        let mut lines = Vec::new();
        for member in gossip.members() {
            if member.is_self {
                own_line = own_member_line(&gossip, &member);
            } else {
                lines.push(self.member_line(&member, now_ms));
            }
        }
        lines.sort_unstable();
        own_line + &lines.concat()
    }

    fn member_line(&self, member: &Member, now_ms: f64) -> String {
        let Member {
            name,
            state,
            incarnation,
            since_ms,
            last_received_ms,
            address,
            is_self: _,
        } = member;
        let in_state_ms = (now_ms - since_ms).max(0.0);
        let received_ms_ago = last_received_ms.map_or_else(
            || UNKNOWN.to_owned(),
            |received| format!("{:.0}", (now_ms - received).max(0.0)),
        );
        let address = address
            .and_then(|id| self.addresses.borrow().address_of(id))
            .map_or_else(|| UNKNOWN.to_owned(), |address| address.to_string());
        format!("{name} {state} {incarnation} {in_state_ms:.0} {received_ms_ago} {address}\n")
    }

    /// Metrics of gossip and of the subsystems that build on it, as lines of `STATS`.
    #[must_use]
    pub fn metrics(&self) -> String {
        gossip_metrics(&self.gossip.borrow())
            + &self.lease_metrics()
            + &self.outlier_detection_metrics()
    }
}

fn own_member_line(gossip: &Gossip, own: &Member) -> String {
    let Member {
        name,
        incarnation,
        state,
        ..
    } = own;
    format!("self {name} {} {incarnation} {state}\n", gossip.health())
}

fn gossip_metrics(gossip: &Gossip) -> String {
    let mut text = String::new();
    for state in [State::Alive, State::Suspect, State::Dead, State::Left] {
        let count = gossip
            .members()
            .filter(|member| !member.is_self && member.state == state)
            .count();
        let _ = writeln!(text, "edge_router.fleet_members.{state}:{count}|g"); // Writing to a string cannot fail.
    }
    let metrics = gossip.metrics();
    let lines = [
        ("health", gossip.health() as u64, 'g'),
        ("verdicts", metrics.verdicts, 'c'),
        ("refutations", metrics.refutations, 'c'),
        ("datagrams_in", metrics.received.datagrams, 'c'),
        ("bytes_in", metrics.received.bytes, 'c'),
        ("datagrams_out", metrics.sent.datagrams, 'c'),
        ("bytes_out", metrics.sent.bytes, 'c'),
    ];
    text += &metric_lines("fleet", &lines);
    for reason in RejectReason::ALL {
        let (name, count) = (reason.metric_name(), metrics.rejected_for(reason));
        let _ = writeln!(text, "edge_router.fleet_refused.{name}:{count}|c"); // Writing to a string cannot fail.
    }
    text
}
