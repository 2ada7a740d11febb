//! The memory of a process, as the kernel reports it.

/// Which memory of a process is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
    /// Resident memory.
    Resident,
    /// Peak of the resident memory since the process started.
    PeakResident,
    /// Anonymous resident memory: what the platform counts, without the pages of the program file.
    Anonymous,
}

impl MemoryKind {
    fn field(self) -> &'static str {
        match self {
            Self::Resident => "VmRSS:",
            Self::PeakResident => "VmHWM:",
            Self::Anonymous => "RssAnon:",
        }
    }
}

/// Memory of a process, in KiB. `None` if it has ended.
#[must_use]
pub fn process_memory_kib(process_id: u32, kind: MemoryKind) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let value = status
        .lines()
        .find_map(|line| line.strip_prefix(kind.field()))?;
    value.trim().strip_suffix(" kB")?.parse().ok()
}
