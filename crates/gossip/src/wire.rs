//! The datagrams: their layout, their seal, and what a reader makes of bytes from anywhere.
//!
//! All numbers are little-endian.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | version, 1 |
//! | 4 | the fleet, the first bytes of its name's hash |
//! | 8 | the sender's process |
//! | 8 | the receiver's process; 0: the sender does not know it |
//! | 4 | number, rising by one with each datagram from this process to this receiver |
//! | ... | records: one byte of kind, one of length, then so many bytes |
//! | 16 | seal: the keyed hash (BLAKE3) of all that comes before, cut short |
//!
//! A record of a kind that a reader does not know is passed over, and so is what a known one has beyond its fields: so
//! versions mix. 256 bytes in all are never exceeded.

use std::fmt;

use bytes::Buf;
use constant_time_eq::constant_time_eq_16;

/// The longest datagram; the platform voids a run with a longer one.
pub const MOST_DATAGRAM: usize = 256;
/// The longest name of a node: two of them and all else fit a datagram.
pub const MOST_NAME: usize = 64;
/// The longest word of another part: with head, seal and the news that have to go along it fits.
pub const MOST_WORD: usize = 180;
/// Into how many parts what is known is taken apart, to find where two differ: in a fleet of 300 each has some twenty nodes.
pub const PARTS: usize = 16;
/// The shortest key, before it is derived.
pub const LEAST_KEY: usize = 16;

/// The highest incarnation that is taken: what comes after a higher one could not be counted. Unix time in milliseconds is
/// a millionth of it.
const MOST_INCARNATION: u64 = 1 << 62;

const VERSION: u8 = 1;
const HEAD: usize = 1 + 4 + 8 + 8 + 4;
const SEAL: usize = 16;
/// Makes the keys of this use differ from those of any other that is made of the same file.
const CONTEXT: &str = "silverthread 2026-12-01 datagrams between nodes, version 1";

/// A node's number: its name's hash. All nodes make the same of the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// What seals and opens the datagrams of a fleet.
#[derive(Clone)]
pub struct Seal {
    fleet: u32,
    key: [u8; 32],
}

impl fmt::Debug for Seal {
    /// Says nothing of the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Seal")
            .field("fleet", &self.fleet)
            .finish_non_exhaustive()
    }
}

impl Seal {
    /// Of a fleet's name and the key that its nodes share.
    #[must_use]
    pub fn new(fleet: &str, key: &[u8]) -> Self {
        let mut material = (fleet.len() as u64).to_le_bytes().to_vec();
        material.extend_from_slice(fleet.as_bytes());
        material.extend_from_slice(key);
        let MemberId(hash) = MemberId::of(fleet);
        Self {
            fleet: hash as u32,
            key: blake3::derive_key(CONTEXT, &material),
        }
    }

    fn of(&self, bytes: &[u8]) -> [u8; SEAL] {
        let mut seal = [0; SEAL];
        seal.copy_from_slice(&blake3::keyed_hash(&self.key, bytes).as_bytes()[..SEAL]);
        seal
    }
}

/// Whom a datagram is from and for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The sender's process.
    pub from: u64,
    /// The receiver's, as the sender knows it; 0 for one that it does not know.
    pub to: u64,
    /// Its number on the way between the two.
    pub number: u32,
}

/// One of the things that a datagram says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Who the sender is.
    Hello {
        /// Its incarnation.
        incarnation: u64,
        /// Its name.
        name: String,
    },
    /// The sender is there.
    Ping {
        /// Whether it wants to hear that this has come.
        answer: bool,
        /// Whether the sender counts on the receiver as one of its observers.
        observer: bool,
    },
    /// A datagram has come.
    Ack {
        /// Its number.
        number: u32,
        /// Whether its sender is not known here by name.
        introduce: bool,
    },
    /// A node is there.
    Alive {
        /// Its incarnation.
        incarnation: u64,
        /// Its process.
        process: u64,
        /// Its name.
        name: String,
    },
    /// A node is gone, in an incarnation, and how long ago it was found so, in quarters of a second; the most is that or
    /// longer ago. One who does not tell found it now.
    Gone(MemberId, u64, u8),
    /// A node has said goodbye.
    Left(MemberId, u64),
    /// The sender does not hear a node: does the receiver?
    Ask(MemberId, u64),
    /// The sender hears a node, or does not.
    Vote(MemberId, u64, bool),
    /// What all that the sender knows of the nodes comes to.
    Digest(u64),
    /// The same, part by part.
    Parts([u16; PARTS]),
    /// A word of another part of the program.
    Word(Vec<u8>),
}

const HELLO: u8 = 1;
const PING: u8 = 2;
const ACK: u8 = 3;
const ALIVE: u8 = 4;
const GONE: u8 = 5;
const LEFT: u8 = 6;
const ASK: u8 = 7;
const VOTE: u8 = 8;
const DIGEST: u8 = 9;
const PARTS_KIND: u8 = 10;
const WORD: u8 = 11;

impl Record {
    fn write(&self, to: &mut Vec<u8>) {
        let at = to.len();
        to.extend_from_slice(&[0, 0]);
        let id = |to: &mut Vec<u8>, id: &MemberId, incarnation: &u64| {
            to.extend_from_slice(&id.0.to_le_bytes());
            to.extend_from_slice(&incarnation.to_le_bytes());
        };
        let kind = match self {
            Self::Hello { incarnation, name } => {
                to.extend_from_slice(&incarnation.to_le_bytes());
                to.extend_from_slice(name.as_bytes());
                HELLO
            }
            Self::Ping { answer, observer } => {
                to.push(u8::from(*answer) | u8::from(*observer) << 1);
                PING
            }
            Self::Ack { number, introduce } => {
                to.extend_from_slice(&number.to_le_bytes());
                to.push(u8::from(*introduce));
                ACK
            }
            Self::Alive {
                incarnation,
                process,
                name,
            } => {
                to.extend_from_slice(&incarnation.to_le_bytes());
                to.extend_from_slice(&process.to_le_bytes());
                to.extend_from_slice(name.as_bytes());
                ALIVE
            }
            Self::Gone(member, incarnation, ago) => {
                id(to, member, incarnation);
                to.push(*ago);
                GONE
            }
            Self::Left(member, incarnation) => {
                id(to, member, incarnation);
                LEFT
            }
            Self::Ask(member, incarnation) => {
                id(to, member, incarnation);
                ASK
            }
            Self::Vote(member, incarnation, hears) => {
                id(to, member, incarnation);
                to.push(u8::from(*hears));
                VOTE
            }
            Self::Digest(digest) => {
                to.extend_from_slice(&digest.to_le_bytes());
                DIGEST
            }
            Self::Parts(parts) => {
                parts
                    .iter()
                    .for_each(|part| to.extend_from_slice(&part.to_le_bytes()));
                PARTS_KIND
            }
            Self::Word(bytes) => {
                to.extend_from_slice(&bytes[..bytes.len().min(MOST_WORD)]);
                WORD
            }
        };
        to[at] = kind;
        // Names are no longer than `MOST_NAME`, so a record's length fits its byte.
        to[at + 1] = (to.len() - at - 2) as u8;
    }

    /// `None`: a kind that is not known here, or a body that stops short.
    fn read(kind: u8, body: &[u8]) -> Option<Self> {
        let mut body = Body(body);
        Some(match kind {
            HELLO => Self::Hello {
                incarnation: body.incarnation()?,
                name: body.name()?,
            },
            PING => {
                let flags = body.u8()?;
                Self::Ping {
                    answer: flags & 1 == 1,
                    observer: flags & 2 == 2,
                }
            }
            ACK => Self::Ack {
                number: body.u32()?,
                introduce: body.flag()?,
            },
            ALIVE => Self::Alive {
                incarnation: body.incarnation()?,
                process: body.u64()?,
                name: body.name()?,
            },
            GONE => Self::Gone(
                MemberId(body.u64()?),
                body.incarnation()?,
                body.u8().unwrap_or(0),
            ),
            LEFT => Self::Left(MemberId(body.u64()?), body.incarnation()?),
            ASK => Self::Ask(MemberId(body.u64()?), body.incarnation()?),
            VOTE => Self::Vote(MemberId(body.u64()?), body.incarnation()?, body.flag()?),
            DIGEST => Self::Digest(body.u64()?),
            PARTS_KIND => {
                let mut parts = [0; PARTS];
                for part in &mut parts {
                    *part = body.0.try_get_u16_le().ok()?;
                }
                Self::Parts(parts)
            }
            WORD => Self::Word(body.0.to_vec()),
            _ => return None,
        })
    }
}

struct Body<'a>(&'a [u8]);

impl Body<'_> {
    fn u8(&mut self) -> Option<u8> {
        self.0.try_get_u8().ok()
    }

    fn u64(&mut self) -> Option<u64> {
        self.0.try_get_u64_le().ok()
    }

    fn incarnation(&mut self) -> Option<u64> {
        self.u64()
            .filter(|incarnation| *incarnation <= MOST_INCARNATION)
    }

    fn u32(&mut self) -> Option<u32> {
        self.0.try_get_u32_le().ok()
    }

    fn flag(&mut self) -> Option<bool> {
        self.u8().map(|byte| byte & 1 == 1)
    }

    fn name(&mut self) -> Option<String> {
        std::str::from_utf8(self.0)
            .ok()
            .filter(|name| is_name(name))
            .map(str::to_owned)
    }
}

/// Whether this can be a node's name: it stands in lines of text that are split at spaces.
#[must_use]
pub fn is_name(name: &str) -> bool {
    (1..=MOST_NAME).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic())
}

/// A datagram that is being written.
pub struct Writer {
    bytes: Vec<u8>,
}

impl Writer {
    /// Begins one.
    #[must_use]
    pub fn new(seal: &Seal, head: Head) -> Self {
        let mut bytes = Vec::with_capacity(MOST_DATAGRAM);
        bytes.push(VERSION);
        bytes.extend_from_slice(&seal.fleet.to_le_bytes());
        bytes.extend_from_slice(&head.from.to_le_bytes());
        bytes.extend_from_slice(&head.to.to_le_bytes());
        bytes.extend_from_slice(&head.number.to_le_bytes());
        Self { bytes }
    }

    /// Adds a record. `false`: there is no room for it, and it is left out.
    pub fn push(&mut self, record: &Record) -> bool {
        let before = self.bytes.len();
        record.write(&mut self.bytes);
        let fits = self.bytes.len() + SEAL <= MOST_DATAGRAM;
        if !fits {
            self.bytes.truncate(before);
        }
        fits
    }

    /// Seals it.
    #[must_use]
    pub fn seal(mut self, seal: &Seal) -> Vec<u8> {
        let of = seal.of(&self.bytes);
        self.bytes.extend_from_slice(&of);
        self.bytes
    }
}

/// Why bytes are not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refused {
    /// They are no datagram of this layout.
    Malformed,
    /// They are of a version that is not known here.
    Version,
    /// They are of another fleet.
    Fleet,
    /// The seal is wrong: another key, or a byte has changed on the way.
    Seal,
    /// They have come before, or far too late.
    Replayed,
    /// They are for an earlier process, or from one.
    OtherLife,
    /// They come from an address that is not among the peers'.
    Stranger,
    /// More came than is read in so short a time, and reading paused: once for each pause.
    Flood,
    /// There is no room for one more node.
    Full,
}

impl Refused {
    /// All of them.
    pub const ALL: [Self; 9] = [
        Self::Malformed,
        Self::Version,
        Self::Fleet,
        Self::Seal,
        Self::Replayed,
        Self::OtherLife,
        Self::Stranger,
        Self::Flood,
        Self::Full,
    ];

    /// A word for it.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Version => "version",
            Self::Fleet => "fleet",
            Self::Seal => "seal",
            Self::Replayed => "replayed",
            Self::OtherLife => "other_life",
            Self::Stranger => "stranger",
            Self::Flood => "flood",
            Self::Full => "full",
        }
    }
}

/// Opens a datagram.
///
/// # Errors
///
/// It is not one of this fleet, or has changed on the way.
pub fn open(seal: &Seal, bytes: &[u8]) -> Result<(Head, Vec<Record>), Refused> {
    if !(HEAD + SEAL..=MOST_DATAGRAM).contains(&bytes.len()) {
        return Err(Refused::Malformed);
    }
    if bytes[0] != VERSION {
        return Err(Refused::Version);
    }
    if bytes[1..5] != seal.fleet.to_le_bytes() {
        return Err(Refused::Fleet);
    }
    let (said, told) = bytes.split_at(bytes.len() - SEAL);
    let told: &[u8; SEAL] = told.try_into().map_err(|_| Refused::Malformed)?;
    if !constant_time_eq_16(&seal.of(said), told) {
        return Err(Refused::Seal);
    }
    let mut head = Body(&said[5..]);
    let read = (head.u64(), head.u64(), head.u32());
    let (Some(from), Some(to), Some(number)) = read else {
        return Err(Refused::Malformed);
    };
    let mut records = Vec::new();
    let mut rest = head.0;
    while let [kind, length, after @ ..] = rest {
        let Some((body, next)) = after.split_at_checked(usize::from(*length)) else {
            return Err(Refused::Malformed);
        };
        records.extend(Record::read(*kind, body));
        rest = next;
    }
    Ok((Head { from, to, number }, records))
}

/// Which numbers of a sender have come. Numbers that are 64 or more behind the highest are taken for ones that have.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    highest: u32,
    seen: u64,
}

impl Window {
    /// Takes a number that has not come before. `false`: it has, or may have. The first is always taken.
    pub fn take(&mut self, number: u32) -> bool {
        if self.seen == 0 || number > self.highest {
            let by = if self.seen == 0 {
                64
            } else {
                number - self.highest
            };
            self.seen = if by >= 64 { 1 } else { (self.seen << by) | 1 };
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        let bit = if behind >= 64 {
            return false;
        } else {
            1_u64 << behind
        };
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}

#[cfg(test)]
mod golden_tests;

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn record() -> impl Strategy<Value = Record> {
        let at = || 0..=MOST_INCARNATION;
        let id = || (any::<u64>().prop_map(MemberId), at());
        prop_oneof![
            (at(), "[!-~]{1,64}")
                .prop_map(|(incarnation, name)| Record::Hello { incarnation, name }),
            any::<(bool, bool)>().prop_map(|(answer, observer)| Record::Ping { answer, observer }),
            (any::<u32>(), any::<bool>())
                .prop_map(|(number, introduce)| Record::Ack { number, introduce }),
            (at(), any::<u64>(), "[!-~]{1,64}").prop_map(|(incarnation, process, name)| {
                Record::Alive {
                    incarnation,
                    process,
                    name,
                }
            }),
            (id(), any::<u8>()).prop_map(|((id, at), ago)| Record::Gone(id, at, ago)),
            id().prop_map(|(id, at)| Record::Left(id, at)),
            id().prop_map(|(id, at)| Record::Ask(id, at)),
            (id(), any::<bool>()).prop_map(|((id, at), hears)| Record::Vote(id, at, hears)),
            any::<u64>().prop_map(Record::Digest),
            any::<[u16; PARTS]>().prop_map(Record::Parts),
            proptest::collection::vec(any::<u8>(), 0..=MOST_WORD).prop_map(Record::Word),
        ]
    }

    fn seal() -> Seal {
        Seal::new("holds", b"0123456789abcdef")
    }

    proptest! {
        #[test]
        fn what_is_written_is_read_and_never_too_long(
            (from, to, number) in any::<(u64, u64, u32)>(),
            records in proptest::collection::vec(record(), 0..30),
        ) {
            let mut writer = Writer::new(&seal(), Head { from, to, number });
            let fits: Vec<_> = records.into_iter().filter(|record| writer.push(record)).collect();
            let bytes = writer.seal(&seal());
            prop_assert!(bytes.len() <= MOST_DATAGRAM);
            prop_assert_eq!(open(&seal(), &bytes), Ok((Head { from, to, number }, fits)));
        }

        /// Guards against a byte that changes on the way, whichever it is.
        #[test]
        fn a_changed_byte_is_found(at in 0..60_usize, by in 1..=255_u8) {
            let mut writer = Writer::new(&seal(), Head { from: 1, to: 2, number: 3 });
            writer.push(&Record::Gone(MemberId(7), 8, 9));
            let mut bytes = writer.seal(&seal());
            let at = at % bytes.len();
            bytes[at] ^= by;
            prop_assert!(open(&seal(), &bytes).is_err());
        }

        #[test]
        fn no_bytes_are_too_odd(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
            prop_assert!(open(&seal(), &bytes).is_err());
        }

        /// Guards against a number that is taken twice, in any order of arrival.
        #[test]
        fn no_number_is_taken_twice(numbers in proptest::collection::vec(0..200_u32, 0..400)) {
            let (mut window, mut taken) = (Window::default(), std::collections::BTreeSet::new());
            for number in numbers {
                if window.take(number) {
                    prop_assert!(taken.insert(number));
                }
            }
        }
    }

    /// Guards against a fleet that stops to talk while half of it has a later version.
    #[test]
    fn what_a_later_version_adds_is_passed_over() {
        let mut writer = Writer::new(
            &seal(),
            Head {
                from: 1,
                to: 2,
                number: 3,
            },
        );
        writer.push(&Record::Ping {
            answer: true,
            observer: false,
        });
        writer
            .bytes
            .extend_from_slice(&[200, 3, 1, 2, 3, PING, 4, 1, 9, 9, 9]);
        let (_, records) = open(&seal(), &writer.seal(&seal())).expect("sound");
        let ping = Record::Ping {
            answer: true,
            observer: false,
        };
        assert_eq!(records, [ping.clone(), ping]);
    }

    #[test]
    fn other_keys_and_fleets_are_told_apart() {
        let bytes = Writer::new(
            &seal(),
            Head {
                from: 1,
                to: 2,
                number: 3,
            },
        )
        .seal(&seal());
        assert_eq!(
            open(&Seal::new("holds", b"another key of 16"), &bytes),
            Err(Refused::Seal)
        );
        assert_eq!(
            open(&Seal::new("other", b"0123456789abcdef"), &bytes),
            Err(Refused::Fleet)
        );
    }
}
