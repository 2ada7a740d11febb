//! The datagram format: header, records and seal, and how untrusted bytes are decoded.
//!
//! All numbers are little-endian.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | version, 1 |
//! | 4 | cluster: the first bytes of the hash of its name |
//! | 8 | process id of the sender |
//! | 8 | process id of the receiver; 0 if the sender does not know it |
//! | 4 | sequence number, incremented with each datagram from this process to this receiver |
//! | ... | records: one byte of kind, one byte of length, then so many bytes |
//! | 16 | seal: keyed hash (BLAKE3) of everything before it, truncated |
//!
//! A reader skips records of an unknown kind and bytes beyond the known fields of a known record, so that nodes of
//! different versions can share a cluster. A datagram never exceeds [`MAX_DATAGRAM_BYTES`].

use std::fmt;

use bytes::Buf;
use constant_time_eq::constant_time_eq_16;

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;

/// The longest datagram. The platform voids a run in which a longer one is sent.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The longest node name: a datagram holds two of them and everything else it must carry.
pub const MAX_NAME_BYTES: usize = 64;
/// The longest application payload: it fits beside the header, the seal and the records that must accompany it.
pub const MAX_PAYLOAD_BYTES: usize = 180;
/// Buckets into which the member table is divided for anti-entropy. With 300 nodes each has about twenty.
pub const DIGEST_BUCKETS: usize = 16;
/// The shortest shared key, before key derivation.
pub const MIN_KEY_BYTES: usize = 16;
/// Unit of [`DeathNotice::age_quarter_seconds`], in milliseconds.
pub const DEATH_AGE_UNIT_MS: f64 = 250.0;

/// The highest incarnation that is decoded, so that there is always room to increment. Unix time in milliseconds, from
/// which incarnations start, is a millionth of it.
const MAX_INCARNATION: u64 = 1 << 62;

const VERSION: u8 = 1;
const HEADER_BYTES: usize = 1 + 4 + 8 + 8 + 4;
const RECORD_HEADER_BYTES: usize = 2;
const SEAL_BYTES: usize = 16;
/// Key derivation context: separates this use of the key file from any other.
const KEY_CONTEXT: &str = "silverthread 2026-12-01 datagrams between nodes, version 1";

/// Identifies a node: the hash of its name, equal on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of the node with this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// The secret that authenticates the datagrams of one cluster.
#[derive(Clone)]
pub struct ClusterKey {
    cluster: u32,
    key: [u8; 32],
}

impl fmt::Debug for ClusterKey {
    /// Does not print the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClusterKey")
            .field("cluster", &self.cluster)
            .finish_non_exhaustive()
    }
}

impl ClusterKey {
    /// Derives the key of the cluster `cluster` from the secret `key` that its nodes share.
    #[must_use]
    pub fn new(cluster: &str, key: &[u8]) -> Self {
        let mut material = (cluster.len() as u64).to_le_bytes().to_vec();
        material.extend_from_slice(cluster.as_bytes());
        material.extend_from_slice(key);
        let MemberId(hash) = MemberId::of(cluster);
        Self {
            cluster: hash as u32,
            key: blake3::derive_key(KEY_CONTEXT, &material),
        }
    }

    fn seal(&self, bytes: &[u8]) -> [u8; SEAL_BYTES] {
        let mut seal = [0; SEAL_BYTES];
        seal.copy_from_slice(&blake3::keyed_hash(&self.key, bytes).as_bytes()[..SEAL_BYTES]);
        seal
    }
}

/// The processes between which a datagram travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Process id of the sender.
    pub from_process: u64,
    /// Process id of the receiver as the sender knows it; 0 if it does not.
    pub to_process: u64,
    /// Sequence number from this sender to this receiver.
    pub sequence: u32,
}

/// That a node was declared dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeathNotice {
    /// Which node.
    pub member: MemberId,
    /// In which incarnation.
    pub incarnation: u64,
    /// How long ago, in quarters of a second; the highest value means that or longer. 0 if the sender does not say.
    pub age_quarter_seconds: u8,
}

/// One of the messages in a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Introduces the sender.
    Hello {
        /// Its incarnation.
        incarnation: u64,
        /// Its name.
        name: String,
    },
    /// The sender is alive.
    Probe {
        /// Whether the receiver is to answer with [`Record::Ack`].
        ack_requested: bool,
        /// Whether the sender counts the receiver among its observers.
        to_observer: bool,
    },
    /// A datagram was received.
    Ack {
        /// Its sequence number.
        sequence: u32,
        /// Whether the receiver of that datagram does not know its sender by name and asks for [`Record::Hello`].
        hello_requested: bool,
    },
    /// A node is alive.
    Alive {
        /// Its incarnation.
        incarnation: u64,
        /// Its process id.
        process_id: u64,
        /// Its name.
        name: String,
    },
    /// A node is dead.
    Dead(DeathNotice),
    /// A node has left on its own.
    Left {
        /// Which node.
        member: MemberId,
        /// In which incarnation.
        incarnation: u64,
    },
    /// The sender does not receive anything from a node and asks whether the receiver does.
    IndirectProbe {
        /// Which node.
        member: MemberId,
        /// In which incarnation.
        incarnation: u64,
    },
    /// The answer to [`Record::IndirectProbe`].
    Vote {
        /// Which node.
        member: MemberId,
        /// In which incarnation.
        incarnation: u64,
        /// Whether the sender receives datagrams from it.
        is_reachable: bool,
    },
    /// Digest of the sender's whole member table.
    Digest(u64),
    /// Digests of the buckets of the sender's member table.
    BucketDigests([u16; DIGEST_BUCKETS]),
    /// Opaque bytes of another subsystem.
    Payload(Vec<u8>),
}

/// The kind byte of each record.
mod kind {
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

    fn encode(&self, to: &mut Vec<u8>) {
        let start = to.len();
        to.extend_from_slice(&[self.kind(), 0]);
        self.encode_body(to);
        // Names and payloads are bounded, so the length of every body fits one byte.
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

    /// Returns `None` for an unknown kind and for a body that is too short or holds an invalid value: the record is
    /// skipped.
    fn decode(kind: u8, body: &[u8]) -> Option<Self> {
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

/// The bytes of a record that are not decoded yet.
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

    /// All that is left, as a name.
    fn name(&mut self) -> Option<String> {
        std::str::from_utf8(self.0)
            .ok()
            .filter(|name| is_valid_node_name(name))
            .map(str::to_owned)
    }
}

/// Whether `name` may be a node's name: printable ASCII without spaces, as it appears in lines of text that are split at
/// spaces, and at most [`MAX_NAME_BYTES`] long.
#[must_use]
pub fn is_valid_node_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Encodes one datagram.
pub struct DatagramWriter {
    bytes: Vec<u8>,
}

impl DatagramWriter {
    /// Starts a datagram with its header.
    #[must_use]
    pub fn new(key: &ClusterKey, header: Header) -> Self {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        bytes.push(VERSION);
        bytes.extend_from_slice(&key.cluster.to_le_bytes());
        bytes.extend_from_slice(&header.from_process.to_le_bytes());
        bytes.extend_from_slice(&header.to_process.to_le_bytes());
        bytes.extend_from_slice(&header.sequence.to_le_bytes());
        Self { bytes }
    }

    /// Appends a record. Returns `false`, and leaves it out, if there is no room for it.
    pub fn push(&mut self, record: &Record) -> bool {
        let before = self.bytes.len();
        record.encode(&mut self.bytes);
        let fits = self.bytes.len() + SEAL_BYTES <= MAX_DATAGRAM_BYTES;
        if !fits {
            self.bytes.truncate(before);
        }
        fits
    }

    /// Appends the seal and returns the datagram.
    #[must_use]
    pub fn seal(mut self, key: &ClusterKey) -> Vec<u8> {
        let seal = key.seal(&self.bytes);
        self.bytes.extend_from_slice(&seal);
        self.bytes
    }
}

/// Why a datagram, or a node, was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// It does not have the layout of a datagram.
    Malformed,
    /// Its version is unknown.
    UnsupportedVersion,
    /// It belongs to another cluster.
    WrongCluster,
    /// Its seal does not match: another key, or a byte changed in transit.
    BadSeal,
    /// Its sequence number was received before, or is too old to tell.
    Replayed,
    /// It is for or from an earlier process of a node, or for an earlier incarnation.
    StaleIncarnation,
    /// Its source address is not among the peers'.
    UnknownSender,
    /// The receive rate limit was reached and reading paused. Counted once for each pause.
    RateLimited,
    /// The member table is full.
    TableFull,
}

impl RejectReason {
    /// All reasons, in the order of [`Metrics::rejected`](crate::Metrics::rejected).
    pub const ALL: [Self; 9] = [
        Self::Malformed,
        Self::UnsupportedVersion,
        Self::WrongCluster,
        Self::BadSeal,
        Self::Replayed,
        Self::StaleIncarnation,
        Self::UnknownSender,
        Self::RateLimited,
        Self::TableFull,
    ];

    /// The last part of its metric's name, which is external and does not follow the name of the variant.
    #[must_use]
    pub fn metric_name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::UnsupportedVersion => "version",
            Self::WrongCluster => "fleet",
            Self::BadSeal => "seal",
            Self::Replayed => "replayed",
            Self::StaleIncarnation => "other_life",
            Self::UnknownSender => "stranger",
            Self::RateLimited => "flood",
            Self::TableFull => "full",
        }
    }
}

/// A datagram whose seal was checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Its header.
    pub header: Header,
    /// Its records, without those that this version does not know.
    pub records: Vec<Record>,
}

/// Checks the seal of a datagram and decodes it.
///
/// # Errors
///
/// [`RejectReason::Malformed`], [`UnsupportedVersion`](RejectReason::UnsupportedVersion),
/// [`WrongCluster`](RejectReason::WrongCluster) or [`BadSeal`](RejectReason::BadSeal).
pub fn open_datagram(key: &ClusterKey, bytes: &[u8]) -> Result<Datagram, RejectReason> {
    if !(HEADER_BYTES + SEAL_BYTES..=MAX_DATAGRAM_BYTES).contains(&bytes.len()) {
        return Err(RejectReason::Malformed);
    }
    if bytes[0] != VERSION {
        return Err(RejectReason::UnsupportedVersion);
    }
    if bytes[1..5] != key.cluster.to_le_bytes() {
        return Err(RejectReason::WrongCluster);
    }
    let (content, seal) = bytes
        .split_last_chunk::<SEAL_BYTES>()
        .ok_or(RejectReason::Malformed)?;
    if !constant_time_eq_16(&key.seal(content), seal) {
        return Err(RejectReason::BadSeal);
    }
    let mut body = Body(&content[5..]);
    let header = decode_header(&mut body).ok_or(RejectReason::Malformed)?;
    let records = decode_records(body.0)?;
    Ok(Datagram { header, records })
}

fn decode_header(body: &mut Body<'_>) -> Option<Header> {
    Some(Header {
        from_process: body.u64()?,
        to_process: body.u64()?,
        sequence: body.u32()?,
    })
}

fn decode_records(mut rest: &[u8]) -> Result<Vec<Record>, RejectReason> {
    let mut records = Vec::new();
    while let [kind, length, after @ ..] = rest {
        let (body, next) = after
            .split_at_checked(usize::from(*length))
            .ok_or(RejectReason::Malformed)?;
        records.extend(Record::decode(*kind, body));
        rest = next;
    }
    Ok(records)
}
