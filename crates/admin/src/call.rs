//! The operators' calls.

use std::fmt;

/// The longest line of a call, its end included: several times what any call has.
pub const MOST_LINE: usize = 128;

/// What operators ask of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Ready,
    /// The figures.
    Stats,
    /// To send its clients away.
    Drain,
    /// To take clients again.
    Undrain,
    /// Which other nodes there are.
    Members,
    /// Who owns what of the work that all nodes have in common.
    Owners,
    /// What is said of servers.
    Hints,
    /// Give a shard of it to a node.
    Give(u8, NodeName),
}

/// The longest name of a node.
pub const MOST_NAME: usize = 64;

/// A node's name in a call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct NodeName {
    bytes: [u8; MOST_NAME],
    length: usize,
}

impl NodeName {
    fn read(name: &[u8]) -> Option<Self> {
        let is_name =
            (1..=MOST_NAME).contains(&name.len()) && name.iter().all(u8::is_ascii_graphic);
        let mut bytes = [0; MOST_NAME];
        bytes
            .get_mut(..name.len())
            .filter(|_| is_name)?
            .copy_from_slice(name);
        Some(Self {
            bytes,
            length: name.len(),
        })
    }

    /// As text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes[..self.length]).unwrap_or_default() // It is ASCII.
    }
}

impl fmt::Debug for NodeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.as_str().fmt(f)
    }
}

/// A line that is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadCall {
    /// No call has this name.
    Unknown,
    /// More came than a call has.
    TooLong,
    /// `GIVE` names no shard or no node.
    Give,
}

impl fmt::Display for BadCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str(
                "unknown call: READY, STATS, DRAIN, UNDRAIN, MEMBERS, OWNERS and GIVE are known",
            ),
            Self::Give => f.write_str("GIVE takes the number of a shard and the name of a node"),
            Self::TooLong => write!(f, "a call has {MOST_LINE} bytes at the most"),
        }
    }
}

impl std::error::Error for BadCall {}

impl Call {
    /// Reads a line, with or without its end.
    ///
    /// # Errors
    ///
    /// It is none.
    pub fn read(line: &[u8]) -> Result<Self, BadCall> {
        if line.len() > MOST_LINE {
            return Err(BadCall::TooLong);
        }
        match line.trim_ascii() {
            b"READY" => Ok(Self::Ready),
            b"STATS" => Ok(Self::Stats),
            b"DRAIN" => Ok(Self::Drain),
            b"UNDRAIN" => Ok(Self::Undrain),
            b"MEMBERS" => Ok(Self::Members),
            b"OWNERS" => Ok(Self::Owners),
            b"HINTS" => Ok(Self::Hints),
            line if line.starts_with(b"GIVE ") => Self::give(&line[5..]).ok_or(BadCall::Give),
            _ => Err(BadCall::Unknown),
        }
    }

    fn give(rest: &[u8]) -> Option<Self> {
        let mut words = rest.split(|byte| *byte == b' ');
        let shard = std::str::from_utf8(words.next()?).ok()?.parse().ok()?;
        let node = NodeName::read(words.next()?)?;
        words.next().is_none().then_some(Self::Give(shard, node))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn calls_are_lines_however_they_end() {
        for end in ["", "\n", "\r\n", " \r\n"] {
            assert_eq!(
                Call::read(format!("READY{end}").as_bytes()),
                Ok(Call::Ready)
            );
            assert_eq!(
                Call::read(format!("UNDRAIN{end}").as_bytes()),
                Ok(Call::Undrain)
            );
        }
        for wrong in [
            "",
            "\n",
            "ready\n",
            "DRAIN n0\n",
            "DRAIN\nUNDRAIN\n",
            "STATS\0",
        ] {
            assert_eq!(
                Call::read(wrong.as_bytes()),
                Err(BadCall::Unknown),
                "{wrong:?}"
            );
        }
        assert_eq!(Call::read(&[b' '; MOST_LINE + 1]), Err(BadCall::TooLong));
        let given = Call::read(b"GIVE 7 n1\n")
            .map(|call| matches!(call, Call::Give(7, name) if name.as_str() == "n1"));
        assert_eq!(given, Ok(true));
        for wrong in [
            "GIVE 7\n",
            "GIVE 256 n1\n",
            "GIVE x n1\n",
            "GIVE 7 n1 n2\n",
            "GIVE 7 \n",
        ] {
            assert_eq!(
                Call::read(wrong.as_bytes()),
                Err(BadCall::Give),
                "{wrong:?}"
            );
        }
    }

    proptest! {
        #[test]
        fn no_bytes_are_too_odd(line in proptest::collection::vec(any::<u8>(), 0..200)) {
            let read = Call::read(&line);
            prop_assert_eq!(read == Err(BadCall::TooLong), line.len() > MOST_LINE);
        }
    }
}
