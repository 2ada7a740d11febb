//! The bytes of a report: a first byte that tells it from other messages between nodes, the number of servers tried, and
//! entries of fixed size. Numbers are little-endian.

use bytes::{Buf, BufMut};

use crate::report::{FailureKind, Report, ReportEntry, ServerKey};

/// The longest report, in bytes: as long as any application payload between nodes.
pub const MAX_REPORT_BYTES: usize = 170;
/// The first byte of a report; lease messages begin with lower ones.
const REPORT_TAG: u8 = 0x80;
/// The tag and the number of servers tried.
const HEADER_BYTES: usize = 3;
const ENTRY_BYTES: usize = 12;
/// The most entries of a report.
pub const MAX_ENTRIES: usize = (MAX_REPORT_BYTES - HEADER_BYTES) / ENTRY_BYTES;

/// Whether a message is a report, by its first byte.
#[must_use]
pub fn is_report(bytes: &[u8]) -> bool {
    bytes.first() == Some(&REPORT_TAG)
}

/// Encodes a report. Entries beyond the first [`MAX_ENTRIES`] are left out.
pub fn encode_report(report: &Report) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_REPORT_BYTES);
    bytes.put_u8(REPORT_TAG);
    bytes.put_u16_le(report.tried);
    for entry in report.entries.iter().take(MAX_ENTRIES) {
        bytes.put_u64_le(entry.server.0);
        bytes.put_u8(entry.failed_quarters);
        bytes.put_u8(entry.succeeded_quarters);
        bytes.put_u8(entry.failure_kind as u8);
        bytes.put_u8(entry.success_age_tenths);
    }
    bytes
}

/// Decodes a report. Returns `None` if the bytes are not a report, too long, or truncated. An entry of an unknown failure
/// kind is skipped, so that later versions can add kinds.
pub fn decode_report(bytes: &[u8]) -> Option<Report> {
    if !is_report(bytes) || bytes.len() > MAX_REPORT_BYTES {
        return None;
    }
    let mut body = &bytes[1..];
    let tried = body.try_get_u16_le().ok()?;
    if body.len() % ENTRY_BYTES != 0 {
        return None;
    }
    let entries = body.chunks_exact(ENTRY_BYTES).filter_map(decode_entry);
    Some(Report {
        tried,
        entries: entries.collect(),
    })
}

/// Decodes [`ENTRY_BYTES`] bytes.
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
