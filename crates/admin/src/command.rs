//! Commands of the admin protocol: parses one line of text into a [`Command`].

use std::fmt;

/// Maximum length of a command line in bytes, including its line end. A `GIVE` with the longest node name fits.
pub const MAX_LINE_BYTES: usize = 128;

/// Maximum length of a node name, in bytes.
pub const MAX_NODE_NAME_BYTES: usize = 64;

/// A command that an operator sends to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// `READY`: report whether this process serves and has received no stop signal.
    Ready,
    /// `STATS`: report the node's metrics.
    Stats,
    /// `DRAIN`: start to move clients to other nodes.
    Drain,
    /// `UNDRAIN`: cancel the drain: report readiness to load balancers again and keep connections open.
    Undrain,
    /// `MEMBERS`: list the other nodes of the cluster, as seen by this node.
    Members,
    /// `OWNERS`: list the lease holder of each shard, as seen by this node.
    Owners,
    /// `HINTS`: list the servers that nodes report as outliers.
    Hints,
    /// `GIVE SHARD NODE`: transfer the lease of a shard to another node.
    Give {
        /// The shard.
        shard: u8,
        /// The node that receives its lease.
        receiver: NodeName,
    },
}

/// A node name in a command: 1 to [`MAX_NODE_NAME_BYTES`] visible ASCII characters.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct NodeName {
    bytes: [u8; MAX_NODE_NAME_BYTES],
    length: usize,
}

impl NodeName {
    fn parse(name: &[u8]) -> Option<Self> {
        let is_valid = (1..=MAX_NODE_NAME_BYTES).contains(&name.len())
            && name.iter().all(u8::is_ascii_graphic);
        if !is_valid {
            return None;
        }
        let mut bytes = [0; MAX_NODE_NAME_BYTES];
        bytes[..name.len()].copy_from_slice(name);
        Some(Self {
            bytes,
            length: name.len(),
        })
    }

    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes[..self.length]).unwrap_or_default() // `parse` accepts only ASCII.
    }
}

impl fmt::Debug for NodeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.as_str().fmt(f)
    }
}

/// Error in a command line. The display form is the reason in the `400` response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The line does not begin with a known command.
    Unknown,
    /// The line is longer than [`MAX_LINE_BYTES`].
    TooLong,
    /// The arguments of `GIVE` are not a shard number and a node name.
    MalformedGive,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str(
                "unknown call: READY, STATS, DRAIN, UNDRAIN, MEMBERS, OWNERS and GIVE are known",
            ),
            Self::MalformedGive => {
                f.write_str("GIVE takes the number of a shard and the name of a node")
            }
            Self::TooLong => write!(f, "a call has {MAX_LINE_BYTES} bytes at the most"),
        }
    }
}

impl std::error::Error for CommandError {}

impl Command {
    /// Parses a line, with or without its line end.
    ///
    /// # Errors
    ///
    /// The line is too long, names no known command, or has invalid `GIVE` arguments.
    pub fn parse(line: &[u8]) -> Result<Self, CommandError> {
        if line.len() > MAX_LINE_BYTES {
            return Err(CommandError::TooLong);
        }
        match line.trim_ascii() {
            b"READY" => Ok(Self::Ready),
            b"STATS" => Ok(Self::Stats),
            b"DRAIN" => Ok(Self::Drain),
            b"UNDRAIN" => Ok(Self::Undrain),
            b"MEMBERS" => Ok(Self::Members),
            b"OWNERS" => Ok(Self::Owners),
            b"HINTS" => Ok(Self::Hints),
            line => match line.strip_prefix(b"GIVE ") {
                Some(arguments) => Self::parse_give(arguments).ok_or(CommandError::MalformedGive),
                None => Err(CommandError::Unknown),
            },
        }
    }

    fn parse_give(arguments: &[u8]) -> Option<Self> {
        let mut arguments = arguments.split(|byte| *byte == b' ');
        let shard = std::str::from_utf8(arguments.next()?).ok()?.parse().ok()?;
        let receiver = NodeName::parse(arguments.next()?)?;
        arguments
            .next()
            .is_none()
            .then_some(Self::Give { shard, receiver })
    }
}

#[cfg(test)]
mod tests;
