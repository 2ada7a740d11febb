//! What nodes say to each other of servers. Numbers are little-endian.

use bytes::{Buf, BufMut};

/// A server in this life of it: a number that every node derives alike from its id and its start, so that word of one does not
/// outlive it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u64);

/// How attempts fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// It answers with an error.
    Error,
    /// It cannot be reached.
    Unreachable,
    /// The connection breaks, or what comes cannot be read.
    Broken,
    /// It does not answer in time.
    Silent,
}

impl Kind {
    /// All of them, by their numbers.
    pub const ALL: [Self; 4] = [Self::Error, Self::Unreachable, Self::Broken, Self::Silent];

    /// As operators read it.
    #[must_use]
    pub fn name(self) -> &'static str {
        ["error", "unreachable", "broken", "silent"][self as usize]
    }
}

/// The longest report, in bytes: as long as any word between nodes.
pub const MOST_REPORT: usize = 170;
/// The first byte of a report: words of leases begin with lower ones.
const REPORT: u8 = 0x80;
/// The bytes of one server in it.
const ENTRY: usize = 12;
/// Servers that fit.
pub const MOST_ENTRIES: usize = (MOST_REPORT - 3) / ENTRY;

/// What one node says of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub server: ServerKey,
    /// Attempts that failed and that ended well of late, in quarters, at most 63 of each.
    pub failed: u8,
    pub ok: u8,
    pub kind: Kind,
    /// How long ago the last of them ended well, in tenths of a second, at most 255.
    pub ok_age: u8,
}

/// All that it says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// How many servers it has tried of late: what part of them it complains of tells what its word is worth.
    pub tried: u16,
    pub entries: Vec<Entry>,
}

/// Whether a word is a report.
#[must_use]
pub fn is_report(bytes: &[u8]) -> bool {
    bytes.first() == Some(&REPORT)
}

impl Report {
    pub fn write(&self) -> Vec<u8> {
        let mut to = Vec::with_capacity(MOST_REPORT);
        to.push(REPORT);
        to.put_u16_le(self.tried);
        for entry in self.entries.iter().take(MOST_ENTRIES) {
            to.put_u64_le(entry.server.0);
            to.extend_from_slice(&[entry.failed, entry.ok, entry.kind as u8, entry.ok_age]);
        }
        to
    }

    /// `None`: no report, or one that stops short. A kind that is not known here is passed over.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        if !is_report(bytes) || bytes.len() > MOST_REPORT {
            return None;
        }
        let mut body = &bytes[1..];
        let tried = body.try_get_u16_le().ok()?;
        if body.len() % ENTRY != 0 {
            return None;
        }
        let entries = body.chunks_exact(ENTRY).filter_map(|mut entry| {
            let server = ServerKey(entry.get_u64_le());
            let (failed, ok, kind, ok_age) = (
                entry.get_u8(),
                entry.get_u8(),
                entry.get_u8(),
                entry.get_u8(),
            );
            let kind = *Kind::ALL.get(usize::from(kind))?;
            Some(Entry {
                server,
                failed,
                ok,
                kind,
                ok_age,
            })
        });
        Some(Self {
            tried,
            entries: entries.collect(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn what_is_written_is_read(tried: u16, of in proptest::collection::vec(any::<(u64, u8, u8, u8)>(), 0..=MOST_ENTRIES)) {
            let entry = |(server, failed, ok, kind): (u64, u8, u8, u8)| {
                Entry { server: ServerKey(server), failed, ok, kind: Kind::ALL[usize::from(kind % 4)], ok_age: kind }
            };
            let report = Report { tried, entries: of.into_iter().map(entry).collect() };
            let bytes = report.write();
            prop_assert!(bytes.len() <= MOST_REPORT && is_report(&bytes));
            prop_assert_eq!(Report::read(&bytes), Some(report));
        }

        #[test]
        fn no_bytes_are_too_odd(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let _ = Report::read(&bytes);
        }
    }
}
