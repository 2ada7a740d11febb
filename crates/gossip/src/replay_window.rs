//! Protection against replayed and duplicated datagrams.

#[cfg(test)]
mod tests;

/// Size of the window in sequence numbers, the highest received one included.
const WINDOW_BITS: u32 = 64;

/// The sequence numbers that were received from one process. Numbers that are [`WINDOW_BITS`] or
/// more below the highest one count as received.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    highest: u32,
    /// Bit `n` is set if sequence number `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Records a sequence number. Returns `false` if it was received before, or is too old to tell.
    /// The first one is always accepted.
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
