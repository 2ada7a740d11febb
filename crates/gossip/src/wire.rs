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

use bytes::Buf;

use crate::cluster_key::{ClusterKey, SEAL_BYTES};
use crate::reject_reason::RejectReason;

#[cfg(test)]
mod golden_tests;
mod record;
#[cfg(test)]
mod tests;

pub use self::record::{DeathNotice, Record};

/// The longest datagram. The platform voids a run in which a longer one is sent.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The longest application payload: it fits beside the header, the seal and the records that must accompany it.
pub const MAX_PAYLOAD_BYTES: usize = 180;
/// Buckets into which the member table is divided for anti-entropy. With 300 nodes each has about twenty.
pub const DIGEST_BUCKETS: usize = 16;
/// Unit of [`DeathNotice::age_quarter_seconds`], in milliseconds.
pub const DEATH_AGE_UNIT_MS: f64 = 250.0;

/// The highest incarnation that is decoded, so that there is always room to increment. Unix time in milliseconds, from
/// which incarnations start, is a millionth of it.
const MAX_INCARNATION: u64 = 1 << 62;

const VERSION: u8 = 1;
const CLUSTER_TAG_BYTES: usize = 4;
const HEADER_BYTES: usize = 1 + CLUSTER_TAG_BYTES + 8 + 8 + 4;

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
