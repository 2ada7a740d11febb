//! The records of a datagram and their encoding.

use bytes::Buf;

use super::{DIGEST_BUCKETS, MAX_INCARNATION, MAX_PAYLOAD_BYTES};
use crate::member_id::{is_valid_node_name, MemberId};

/// Length of the kind and length fields of a record, in bytes.
const RECORD_HEADER_BYTES: usize = 2;

/// A report that a node was declared dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeathNotice {
    /// The dead node.
    pub member: MemberId,
    /// The incarnation that was declared dead.
    pub incarnation: u64,
    /// Time since the node was declared dead, in quarters of a second. The highest value means at
    /// least that long; 0 stands in for a missing value.
    pub age_quarter_seconds: u8,
}

/// One of the messages in a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Introduces the sender.
    Hello {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Name of the sender.
        name: String,
    },
    /// Shows that the sender is alive.
    Probe {
        /// Whether the receiver should answer with [`Record::Ack`].
        ack_requested: bool,
        /// Whether the receiver is one of the sender's observers, according to the sender.
        to_observer: bool,
    },
    /// Acknowledges a datagram of the receiver.
    Ack {
        /// Sequence number of the acknowledged datagram.
        sequence: u32,
        /// Whether the sender has not accepted a [`Record::Hello`] of the receiver's process, and
        /// requests one.
        hello_requested: bool,
    },
    /// Reports that a node is alive.
    Alive {
        /// Incarnation of the node.
        incarnation: u64,
        /// Process id of the node.
        process_id: u64,
        /// Name of the node.
        name: String,
    },
    /// Reports that a node is dead.
    Dead(DeathNotice),
    /// Reports that a node has left on its own.
    Left {
        /// The node that has left.
        member: MemberId,
        /// Its incarnation when it left.
        incarnation: u64,
    },
    /// Asks for the receiver's vote on a node from which the sender receives nothing.
    IndirectProbe {
        /// The suspect.
        member: MemberId,
        /// The incarnation of the suspect that the sender suspects.
        incarnation: u64,
    },
    /// Answers [`Record::IndirectProbe`].
    Vote {
        /// The suspect.
        member: MemberId,
        /// The incarnation of the suspect that the vote is about.
        incarnation: u64,
        /// Whether the sender receives datagrams from the suspect.
        is_reachable: bool,
    },
    /// Digest of the sender's whole member table.
    Digest(u64),
    /// Truncated digests of the buckets of the sender's member table.
    BucketDigests([u16; DIGEST_BUCKETS]),
    /// Opaque bytes of another subsystem.
    Payload(Vec<u8>),
}

/// The kind byte of each record.
pub(super) mod kind {
    pub const HELLO: u8 = 1;
    pub const PROBE: u8 = 2;
    pub const ACK: u8 = 3;
    pub const ALIVE: u8 = 4;
    pub const DEAD: u8 = 5;
    pub const LEFT: u8 = 6;
    pub const INDIRECT_PROBE: u8 = 7;
    pub const VOTE: u8 = 8;
    pub const DIGEST: u8 = 9;
    pub const BUCKET_DIGESTS: u8 = 10;
    pub const PAYLOAD: u8 = 11;
}

/// Flags of [`Record::Probe`].
const ACK_REQUESTED: u8 = 1;
const TO_OBSERVER: u8 = 2;

fn encode_member(member: MemberId, incarnation: u64, to: &mut Vec<u8>) {
    to.extend_from_slice(&member.0.to_le_bytes());
    to.extend_from_slice(&incarnation.to_le_bytes());
}

impl Record {
    fn kind(&self) -> u8 {
        match self {
            Self::Hello { .. } => kind::HELLO,
            Self::Probe { .. } => kind::PROBE,
            Self::Ack { .. } => kind::ACK,
            Self::Alive { .. } => kind::ALIVE,
            Self::Dead(_) => kind::DEAD,
            Self::Left { .. } => kind::LEFT,
            Self::IndirectProbe { .. } => kind::INDIRECT_PROBE,
            Self::Vote { .. } => kind::VOTE,
            Self::Digest(_) => kind::DIGEST,
            Self::BucketDigests(_) => kind::BUCKET_DIGESTS,
            Self::Payload(_) => kind::PAYLOAD,
        }
    }

    /// Appends the kind, length and body.
    pub(super) fn encode(&self, to: &mut Vec<u8>) {
        let start = to.len();
        to.extend_from_slice(&[self.kind(), 0]);
        self.encode_body(to);
        // Names and payloads are bounded, so the length of every body fits in one byte.
        to[start + 1] = (to.len() - start - RECORD_HEADER_BYTES) as u8;
    }

    fn encode_body(&self, to: &mut Vec<u8>) {
        match self {
            Self::Hello { incarnation, name } => {
                to.extend_from_slice(&incarnation.to_le_bytes());
                to.extend_from_slice(name.as_bytes());
            }
            Self::Probe {
                ack_requested,
                to_observer,
            } => {
                let ack_requested = u8::from(*ack_requested) * ACK_REQUESTED;
                let to_observer = u8::from(*to_observer) * TO_OBSERVER;
                to.push(ack_requested | to_observer);
            }
            Self::Ack {
                sequence,
                hello_requested,
            } => {
                to.extend_from_slice(&sequence.to_le_bytes());
                to.push(u8::from(*hello_requested));
            }
            Self::Alive {
                incarnation,
                process_id,
                name,
            } => {
                to.extend_from_slice(&incarnation.to_le_bytes());
                to.extend_from_slice(&process_id.to_le_bytes());
                to.extend_from_slice(name.as_bytes());
            }
            Self::Dead(notice) => {
                encode_member(notice.member, notice.incarnation, to);
                to.push(notice.age_quarter_seconds);
            }
            Self::Left {
                member,
                incarnation,
            }
            | Self::IndirectProbe {
                member,
                incarnation,
            } => encode_member(*member, *incarnation, to),
            Self::Vote {
                member,
                incarnation,
                is_reachable,
            } => {
                encode_member(*member, *incarnation, to);
                to.push(u8::from(*is_reachable));
            }
            Self::Digest(digest) => to.extend_from_slice(&digest.to_le_bytes()),
            Self::BucketDigests(digests) => {
                for digest in digests {
                    to.extend_from_slice(&digest.to_le_bytes());
                }
            }
            Self::Payload(bytes) => {
                to.extend_from_slice(&bytes[..bytes.len().min(MAX_PAYLOAD_BYTES)]);
            }
        }
    }

    /// Returns `None` for an unknown kind, and for a body that is too short or has an invalid
    /// value. Such records are skipped.
    pub(super) fn decode(kind: u8, body: &[u8]) -> Option<Self> {
        let mut body = Body(body);
        Some(match kind {
            kind::HELLO => Self::Hello {
                incarnation: body.incarnation()?,
                name: body.name()?,
            },
            kind::PROBE => {
                let flags = body.u8()?;
                Self::Probe {
                    ack_requested: flags & ACK_REQUESTED != 0,
                    to_observer: flags & TO_OBSERVER != 0,
                }
            }
            kind::ACK => Self::Ack {
                sequence: body.u32()?,
                hello_requested: body.flag()?,
            },
            kind::ALIVE => Self::Alive {
                incarnation: body.incarnation()?,
                process_id: body.u64()?,
                name: body.name()?,
            },
            kind::DEAD => Self::Dead(DeathNotice {
                member: body.member()?,
                incarnation: body.incarnation()?,
                age_quarter_seconds: body.u8().unwrap_or(0),
            }),
            kind::LEFT => Self::Left {
                member: body.member()?,
                incarnation: body.incarnation()?,
            },
            kind::INDIRECT_PROBE => Self::IndirectProbe {
                member: body.member()?,
                incarnation: body.incarnation()?,
            },
            kind::VOTE => Self::Vote {
                member: body.member()?,
                incarnation: body.incarnation()?,
                is_reachable: body.flag()?,
            },
            kind::DIGEST => Self::Digest(body.u64()?),
            kind::BUCKET_DIGESTS => Self::BucketDigests(body.bucket_digests()?),
            kind::PAYLOAD => Self::Payload(body.0.to_vec()),
            _ => return None,
        })
    }
}

/// The remaining undecoded bytes of a record's body.
struct Body<'a>(&'a [u8]);

impl Body<'_> {
    fn u8(&mut self) -> Option<u8> {
        self.0.try_get_u8().ok()
    }

    fn u32(&mut self) -> Option<u32> {
        self.0.try_get_u32_le().ok()
    }

    fn u64(&mut self) -> Option<u64> {
        self.0.try_get_u64_le().ok()
    }

    fn flag(&mut self) -> Option<bool> {
        self.u8().map(|byte| byte & 1 == 1)
    }

    fn member(&mut self) -> Option<MemberId> {
        self.u64().map(MemberId)
    }

    fn incarnation(&mut self) -> Option<u64> {
        self.u64()
            .filter(|incarnation| *incarnation <= MAX_INCARNATION)
    }

    fn bucket_digests(&mut self) -> Option<[u16; DIGEST_BUCKETS]> {
        let mut digests = [0; DIGEST_BUCKETS];
        for digest in &mut digests {
            *digest = self.0.try_get_u16_le().ok()?;
        }
        Some(digests)
    }

    /// Decodes all remaining bytes as a node name.
    fn name(&mut self) -> Option<String> {
        std::str::from_utf8(self.0)
            .ok()
            .filter(|name| is_valid_node_name(name))
            .map(str::to_owned)
    }
}
