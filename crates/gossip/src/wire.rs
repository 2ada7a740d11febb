//! The datagram format: header, records and seal, and the decoding of untrusted bytes.
//!
//! All numbers are little-endian.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | version, 1 |
//! | 4 | cluster tag: the first four bytes of the hash of the cluster's name |
//! | 8 | process id of the sender |
//! | 8 | process id of the receiver; 0 if unknown to the sender |
//! | 4 | sequence number, incremented with each datagram from this process to this receiver |
//! | ... | records: one byte for the kind, one byte for the length of the body, and the body |
//! | 16 | seal: keyed hash (BLAKE3) of everything before it, truncated |
//!
//! A reader skips records of an unknown kind and bytes beyond the known fields of a known record,
//! so that nodes of different versions can share a cluster. A datagram never exceeds
//! [`MAX_DATAGRAM_BYTES`].

use bytes::Buf;

use crate::cluster_key::{ClusterKey, SEAL_BYTES};
use crate::reject_reason::RejectReason;

#[cfg(test)]
mod golden_tests;
mod record;
#[cfg(test)]
mod tests;

pub use self::record::{DeathNotice, Record};

/// Maximum length of a datagram, in bytes. The platform voids a run in which a longer one is sent.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Maximum length of a payload of another subsystem, in bytes. It fits in a datagram along with the
/// header, the seal and either a death notice or a hello with a name of up to 23 bytes; if it does
/// not fit, it is not sent.
pub const MAX_PAYLOAD_BYTES: usize = 180;
/// Number of buckets into which the member table is divided for anti-entropy. With 300 nodes, each
/// bucket has about twenty.
pub const DIGEST_BUCKETS: usize = 16;
/// Unit of [`DeathNotice::age_quarter_seconds`], in milliseconds.
pub const DEATH_AGE_UNIT_MS: f64 = 250.0;

/// The highest incarnation that is decoded, so that any incarnation can be incremented.
/// Incarnations start at the Unix time in milliseconds, which is less than a millionth of it.
const MAX_INCARNATION: u64 = 1 << 62;

const VERSION: u8 = 1;
const CLUSTER_TAG_BYTES: usize = 4;
const HEADER_BYTES: usize = 1 + CLUSTER_TAG_BYTES + 8 + 8 + 4;

/// The header of a datagram, without the version and the cluster tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Process id of the sender.
    pub from_process: u64,
    /// Process id of the receiver; 0 if unknown to the sender.
    pub to_process: u64,
    /// Sequence number of the datagram from this sender to this receiver; 0 if the receiver is not
    /// the process that the sender has bound to the address.
    pub sequence: u32,
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
        bytes.extend_from_slice(&key.cluster_tag());
        bytes.extend_from_slice(&header.from_process.to_le_bytes());
        bytes.extend_from_slice(&header.to_process.to_le_bytes());
        bytes.extend_from_slice(&header.sequence.to_le_bytes());
        Self { bytes }
    }

    /// Appends a record. Returns `false`, and leaves the record out, if it does not fit.
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

/// A decoded datagram whose seal was verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The header.
    pub header: Header,
    /// The records, without those that this version cannot decode.
    pub records: Vec<Record>,
}

/// Verifies the seal of a datagram and decodes it.
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
    if bytes[1..=CLUSTER_TAG_BYTES] != key.cluster_tag() {
        return Err(RejectReason::WrongCluster);
    }
    let (content, seal) = bytes
        .split_last_chunk::<SEAL_BYTES>()
        .ok_or(RejectReason::Malformed)?;
    if !key.verify_seal(content, seal) {
        return Err(RejectReason::BadSeal);
    }
    let mut rest = &content[1 + CLUSTER_TAG_BYTES..];
    let header = decode_header(&mut rest).ok_or(RejectReason::Malformed)?;
    let records = decode_records(rest)?;
    Ok(Datagram { header, records })
}

fn decode_header(bytes: &mut &[u8]) -> Option<Header> {
    Some(Header {
        from_process: bytes.try_get_u64_le().ok()?,
        to_process: bytes.try_get_u64_le().ok()?,
        sequence: bytes.try_get_u32_le().ok()?,
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
