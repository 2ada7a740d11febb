//! The interface between the simulation and the state machines that run in it.

use crate::NodeId;

/// A datagram that a process sends.
#[derive(Debug)]
pub(crate) struct OutgoingDatagram {
    pub to: NodeId,
    pub bytes: Vec<u8>,
}

/// Collects the actions of a process during one call. The simulation executes them when the call returns.
#[derive(Debug, Default)]
pub struct Outbox {
    pub(crate) datagrams: Vec<OutgoingDatagram>,
    pub(crate) wake_at_ms: Option<f64>,
}

impl Outbox {
    /// Sends a datagram to a node. A datagram to a node that does not exist is counted as sent and dropped.
    pub fn send(&mut self, to: NodeId, bytes: Vec<u8>) {
        self.datagrams.push(OutgoingDatagram { to, bytes });
    }

    /// Sets the process's only timer to expire at this local time. Replaces the previous timer.
    pub fn wake_at(&mut self, local_ms: f64) {
        self.wake_at_ms = Some(local_ms);
    }
}

/// A state machine that runs on a node. All times are those of the node's local clock, in milliseconds.
pub trait Process {
    /// Called when the process starts, when its timer expires and when it resumes after a pause.
    fn wake(&mut self, local_ms: f64, outbox: &mut Outbox);
    /// Called when a datagram arrives.
    fn receive(&mut self, local_ms: f64, from: NodeId, bytes: &[u8], outbox: &mut Outbox);
}
