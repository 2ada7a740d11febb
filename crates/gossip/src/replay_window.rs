//! Protection against replayed datagrams of one process.

#[cfg(test)]
mod tests;

/// How far behind the highest sequence number a datagram may arrive.
const WINDOW_BITS: u32 = 64;

/// The sequence numbers that one process has used. Numbers that are [`WINDOW_BITS`] or more behind the highest count as
/// used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    highest: u32,
    /// Bit `n` is set if `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Accepts a sequence number that was not received before. Returns `false` if it was, or may have been. The first is
    /// always accepted.
    pub fn accept(&mut self, sequence: u32) -> bool {
        let is_first = self.received == 0;
        if is_first || sequence > self.highest {
            let advance = if is_first {
                WINDOW_BITS
            } else {
                sequence - self.highest
            };
            self.received = if advance >= WINDOW_BITS {
                1
            } else {
                (self.received << advance) | 1
            };
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW_BITS {
            return false;
        }
        let bit = 1_u64 << behind;
        let is_new = self.received & bit == 0;
        self.received |= bit;
        is_new
    }
}
