//! Encoding of a report: a tag byte that distinguishes it from other messages between nodes, the number of tried
//! servers, and entries of fixed size. Integers are little-endian.

use bytes::{Buf, BufMut};

use crate::report::{FailureKind, Report, ReportEntry, ServerKey};

/// Maximum length of a report, in bytes; the same as that of a lease message.
pub const MAX_REPORT_BYTES: usize = 170;
/// First byte of a report. Lease messages start with lower values.
const REPORT_TAG: u8 = 0x80;
/// Length of the tag and the number of tried servers, in bytes.
const HEADER_BYTES: usize = 3;
/// Length of an entry, in bytes.
const ENTRY_BYTES: usize = 12;
/// Maximum number of entries in a report.
pub const MAX_ENTRIES: usize = (MAX_REPORT_BYTES - HEADER_BYTES) / ENTRY_BYTES;

/// Whether a message is a report, judged by its first byte.
#[must_use]
pub fn is_report(bytes: &[u8]) -> bool {
    bytes.first() == Some(&REPORT_TAG)
}

/// Encodes a report. Entries beyond the first [`MAX_ENTRIES`] are omitted.
pub fn encode_report(report: &Report) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_REPORT_BYTES);
    bytes.put_u8(REPORT_TAG);
    bytes.put_u16_le(report.tried_servers);
    for entry in report.entries.iter().take(MAX_ENTRIES) {
        bytes.put_u64_le(entry.server.0);
        bytes.put_u8(entry.failed_quarters);
        bytes.put_u8(entry.succeeded_quarters);
        bytes.put_u8(entry.failure_kind as u8);
        bytes.put_u8(entry.success_age_tenths);
    }
    bytes
}

/// Decodes a report. Returns `None` if the bytes are not a report, too long, or truncated. Entries with an unknown
/// failure kind are skipped, so that later versions can add kinds.
pub fn decode_report(bytes: &[u8]) -> Option<Report> {
    if !is_report(bytes) || bytes.len() > MAX_REPORT_BYTES {
        return None;
    }
    let mut body = &bytes[1..];
    let tried_servers = body.try_get_u16_le().ok()?;
    if body.len() % ENTRY_BYTES != 0 {
        return None;
    }
    let entries = body.chunks_exact(ENTRY_BYTES).filter_map(decode_entry);
    Some(Report {
        tried_servers,
        entries: entries.collect(),
    })
}

/// Decodes an entry from [`ENTRY_BYTES`] bytes. Returns `None` if its failure kind is unknown.
fn decode_entry(mut bytes: &[u8]) -> Option<ReportEntry> {
    let server = ServerKey(bytes.get_u64_le());
    let failed_quarters = bytes.get_u8();
    let succeeded_quarters = bytes.get_u8();
    let failure_kind = *FailureKind::ALL.get(usize::from(bytes.get_u8()))?;
    let success_age_tenths = bytes.get_u8();
    Some(ReportEntry {
        server,
        failed_quarters,
        succeeded_quarters,
        failure_kind,
        success_age_tenths,
    })
}

#[cfg(test)]
mod tests;
