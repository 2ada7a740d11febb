//! The admin protocol's commands: parsing one line of text into a [`Command`].

use std::fmt;

/// The longest line of a command in bytes, its line end included: several times what any command needs.
pub const MAX_LINE_BYTES: usize = 128;

/// The longest name of a node, in bytes.
pub const MAX_NODE_NAME_BYTES: usize = 64;

/// What an operator requests of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// `READY`: whether this process accepts requests.
    Ready,
    /// `STATS`: the metrics.
    Stats,
    /// `DRAIN`: send clients to other nodes.
    Drain,
    /// `UNDRAIN`: accept clients again.
    Undrain,
    /// `MEMBERS`: the other nodes of the cluster, as this node knows them.
    Members,
    /// `OWNERS`: the lease holder of each shard, as this node knows it.
    Owners,
    /// `HINTS`: the servers that nodes report as outliers.
    Hints,
    /// `GIVE SHARD NODE`: transfer the lease of a shard to another node.
    Give {
        /// The shard.
        shard: u8,
        /// The node that is to hold its lease.
        receiver: NodeName,
    },
}

/// A node's name in a command: 1 to [`MAX_NODE_NAME_BYTES`] visible ASCII characters.
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

/// Why a line is not a command. Its display form is the reason in the node's `400` response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// No command has this name.
    Unknown,
    /// The line is longer than [`MAX_LINE_BYTES`].
    TooLong,
    /// `GIVE` without a valid shard number and node name.
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
    /// Returns why the line is not a command.
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
