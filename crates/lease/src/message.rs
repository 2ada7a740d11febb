//! The messages that nodes exchange about leases, and their encoding.
//!
//! A message is one byte for its kind and the fields of that kind. Numbers are little-endian. The
//! encoding is the same as in version 45ea4e8, whose nodes may run in the same cluster:
//! `golden_tests` has the bytes of each kind.

use std::fmt;

use bytes::{Buf, BufMut};

use crate::identity::{FencingToken, NodeId, Shard, ShardToken};

/// Maximum length of a message, in bytes. With the datagram's header, a node name and the seal
/// (authentication tag) a datagram has at most 256 bytes.
pub const MAX_MESSAGE_BYTES: usize = 170;
/// Maximum length of an effect's payload, in bytes.
pub const MAX_EFFECT_BYTES: usize = MAX_MESSAGE_BYTES - 10;
/// Number of lease requests that fit into a message.
pub const MAX_LEASE_REQUESTS: usize = (MAX_MESSAGE_BYTES - 23) / 10;
/// Number of shard statuses that fit into a message.
pub const MAX_SHARD_STATUSES: usize = (MAX_MESSAGE_BYTES - 9) / 19;

/// The first byte of a message. The `JOINT_` kinds also carry the id of the previous configuration,
/// and are sent only while acceptors are being replaced.
mod kind {
    pub const LEASE_REQUEST: u8 = 1;
    pub const GRANTED: u8 = 2;
    pub const REJECTED: u8 = 3;
    pub const RELEASE: u8 = 4;
    pub const TRANSFER: u8 = 5;
    pub const TABLE_REQUEST: u8 = 6;
    pub const TABLE: u8 = 7;
    pub const HIGHEST_TOKEN_REQUEST: u8 = 8;
    pub const HIGHEST_TOKEN: u8 = 9;
    pub const CONFIGURATION_MISMATCH: u8 = 10;
    pub const TRANSFER_OFFER: u8 = 11;
    pub const TRANSFER_ACCEPTED: u8 = 12;
    pub const JOINT_LEASE_REQUEST: u8 = 13;
    pub const JOINT_TABLE_REQUEST: u8 = 14;
    pub const CONFIGURATION_STATUS_REQUEST: u8 = 15;
    pub const CONFIGURATION_STATUS: u8 = 16;
    pub const EFFECT: u8 = 17;
}

/// The bits of the flags byte in an encoded [`ConfigurationStatus`].
mod status_flag {
    pub const SEALED: u8 = 1;
    pub const SETTLED: u8 = 2;
    pub const PREVIOUS_SETTLED: u8 = 4;
}

/// A request for the lease of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    pub shard: Shard,
    pub token: FencingToken,
    /// Whether the owner under the preceding token has transferred the shard to the requester. Then
    /// the acceptor may replace that owner's grant before it expires.
    pub is_transfer: bool,
}

/// An acceptor's current grant of a shard, and its highest token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardStatus {
    pub shard: Shard,
    pub highest_token: FencingToken,
    /// `None`: the shard is free.
    pub owner: Option<NodeId>,
    pub remaining_ms: u16,
}

/// The ids of a node's configuration, and of the previous one while both decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationIds {
    pub current: u64,
    pub previous: Option<u64>,
}

/// The status of a configuration as reported by one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationStatus {
    pub configuration_id: u64,
    /// The sender is an acceptor of the previous configuration, has granted nothing under it alone
    /// for longer than any lease lasts, and never will again.
    pub is_sealed: bool,
    /// The configuration decides alone: no process can act under an earlier one.
    pub is_settled: bool,
    /// No process can act under a configuration before the previous one.
    pub is_previous_settled: bool,
    /// The highest token known to the sender.
    pub highest_token: FencingToken,
}

/// A message between the lease managers of two nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Requests leases of `ttl_ms`, counted from when the request was sent.
    LeaseRequest {
        configurations: ConfigurationIds,
        request_id: u32,
        ttl_ms: u16,
        requests: Vec<LeaseRequest>,
    },
    /// An acceptor grants leases that were requested.
    Granted {
        request_id: u32,
        granted: Vec<ShardToken>,
    },
    /// An acceptor rejects requests, and reports the status of their shards.
    Rejected {
        shards: Vec<ShardStatus>,
    },
    /// The sender has given up ownerships or claims.
    Release {
        released: Vec<ShardToken>,
    },
    /// The sender has given up this ownership, and the receiver may claim the shard under the next
    /// token.
    Transfer(ShardToken),
    /// The sender offers to transfer this ownership to the receiver.
    TransferOffer(ShardToken),
    /// The sender accepts the transfer that it was offered.
    TransferAccepted(ShardToken),
    /// Requests the changes of the acceptor's table since a version.
    TableRequest {
        configurations: ConfigurationIds,
        since_version: u64,
    },
    /// The changes of the acceptor's table up to a version.
    Table {
        version: u64,
        shards: Vec<ShardStatus>,
    },
    /// Requests the highest token of the receiver, an acceptor. The receiver ignores the id.
    HighestTokenRequest {
        configuration_id: u64,
    },
    /// The highest token of the sender, an acceptor.
    HighestToken(FencingToken),
    /// Requests the status of a reconfiguration.
    ConfigurationStatusRequest {
        configurations: ConfigurationIds,
    },
    ConfigurationStatus(ConfigurationStatus),
    /// An effect that the sender publishes as the owner of a shard.
    Effect {
        ownership: ShardToken,
        payload: Vec<u8>,
    },
    /// The receiver's configuration does not match the sender's, which has this number.
    ConfigurationMismatch(u32),
}

/// The reason why bytes cannot be decoded as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`]; its length in bytes.
    TooLong(usize),
    /// The kind is unknown to this version.
    UnknownKind(u8),
    /// The message ends within a field.
    Truncated,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(length) => write!(f, "lease message of {length} bytes is too long"),
            Self::UnknownKind(kind) => write!(f, "lease message of unknown kind {kind}"),
            Self::Truncated => write!(f, "lease message is truncated"),
        }
    }
}

impl std::error::Error for DecodeError {}

impl Message {
    /// Encodes the message, to at most [`MAX_MESSAGE_BYTES`] if its lists are within their bounds.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_MESSAGE_BYTES);
        out.push(self.kind());
        self.encode_fields(&mut out);
        out
    }

    fn kind(&self) -> u8 {
        match self {
            Self::LeaseRequest { configurations, .. } => match configurations.previous {
                None => kind::LEASE_REQUEST,
                Some(_) => kind::JOINT_LEASE_REQUEST,
            },
            Self::Granted { .. } => kind::GRANTED,
            Self::Rejected { .. } => kind::REJECTED,
            Self::Release { .. } => kind::RELEASE,
            Self::Transfer(_) => kind::TRANSFER,
            Self::TransferOffer(_) => kind::TRANSFER_OFFER,
            Self::TransferAccepted(_) => kind::TRANSFER_ACCEPTED,
            Self::TableRequest { configurations, .. } => match configurations.previous {
                None => kind::TABLE_REQUEST,
                Some(_) => kind::JOINT_TABLE_REQUEST,
            },
            Self::Table { .. } => kind::TABLE,
            Self::HighestTokenRequest { .. } => kind::HIGHEST_TOKEN_REQUEST,
            Self::HighestToken(_) => kind::HIGHEST_TOKEN,
            Self::ConfigurationStatusRequest { .. } => kind::CONFIGURATION_STATUS_REQUEST,
            Self::ConfigurationStatus(_) => kind::CONFIGURATION_STATUS,
            Self::Effect { .. } => kind::EFFECT,
            Self::ConfigurationMismatch(_) => kind::CONFIGURATION_MISMATCH,
        }
    }

    fn encode_fields(&self, out: &mut Vec<u8>) {
        match self {
            Self::LeaseRequest {
                configurations,
                request_id,
                ttl_ms,
                requests,
            } => {
                encode_configurations(out, *configurations);
                out.put_u32_le(*request_id);
                out.put_u16_le(*ttl_ms);
                encode_lease_requests(out, requests);
            }
            Self::Granted {
                request_id,
                granted,
            } => {
                out.put_u32_le(*request_id);
                encode_shard_tokens(out, granted);
            }
            Self::Rejected { shards } => encode_shard_statuses(out, shards),
            Self::Release { released } => encode_shard_tokens(out, released),
            Self::Transfer(ownership)
            | Self::TransferOffer(ownership)
            | Self::TransferAccepted(ownership) => encode_shard_tokens(out, &[*ownership]),
            Self::TableRequest {
                configurations,
                since_version,
            } => {
                encode_configurations(out, *configurations);
                out.put_u64_le(*since_version);
            }
            Self::Table { version, shards } => {
                out.put_u64_le(*version);
                encode_shard_statuses(out, shards);
            }
            Self::HighestTokenRequest { configuration_id } => out.put_u64_le(*configuration_id),
            Self::HighestToken(token) => out.put_u64_le(token.0),
            Self::ConfigurationStatusRequest { configurations } => {
                out.put_u64_le(configurations.current);
                out.put_u64_le(configurations.previous.unwrap_or(0));
            }
            Self::ConfigurationStatus(status) => encode_configuration_status(out, *status),
            Self::Effect { ownership, payload } => {
                encode_shard_tokens(out, &[*ownership]);
                out.extend_from_slice(payload);
            }
            Self::ConfigurationMismatch(number) => out.put_u32_le(*number),
        }
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// The bytes are not a message of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong(bytes.len()));
        }
        let (kind, fields) = bytes.split_first().ok_or(DecodeError::Truncated)?;
        let mut fields = Decoder(fields);
        match *kind {
            kind::LEASE_REQUEST => {
                let configurations = fields.current_configuration()?;
                fields.lease_request_message(configurations)
            }
            kind::JOINT_LEASE_REQUEST => {
                let configurations = fields.joint_configurations()?;
                fields.lease_request_message(configurations)
            }
            kind::GRANTED => Ok(Self::Granted {
                request_id: fields.u32()?,
                granted: fields.until_end(Decoder::shard_token)?,
            }),
            kind::REJECTED => Ok(Self::Rejected {
                shards: fields.until_end(Decoder::shard_status)?,
            }),
            kind::RELEASE => Ok(Self::Release {
                released: fields.until_end(Decoder::shard_token)?,
            }),
            kind::TRANSFER => Ok(Self::Transfer(fields.shard_token()?)),
            kind::TRANSFER_OFFER => Ok(Self::TransferOffer(fields.shard_token()?)),
            kind::TRANSFER_ACCEPTED => Ok(Self::TransferAccepted(fields.shard_token()?)),
            kind::TABLE_REQUEST => Ok(Self::TableRequest {
                configurations: fields.current_configuration()?,
                since_version: fields.u64()?,
            }),
            kind::JOINT_TABLE_REQUEST => Ok(Self::TableRequest {
                configurations: fields.joint_configurations()?,
                since_version: fields.u64()?,
            }),
            kind::TABLE => Ok(Self::Table {
                version: fields.u64()?,
                shards: fields.until_end(Decoder::shard_status)?,
            }),
            kind::HIGHEST_TOKEN_REQUEST => Ok(Self::HighestTokenRequest {
                configuration_id: fields.u64()?,
            }),
            kind::HIGHEST_TOKEN => Ok(Self::HighestToken(fields.token()?)),
            kind::CONFIGURATION_STATUS_REQUEST => Ok(Self::ConfigurationStatusRequest {
                configurations: fields.joint_configurations()?,
            }),
            kind::CONFIGURATION_STATUS => {
                Ok(Self::ConfigurationStatus(fields.configuration_status()?))
            }
            kind::EFFECT => Ok(Self::Effect {
                ownership: fields.shard_token()?,
                payload: fields.0.to_vec(),
            }),
            kind::CONFIGURATION_MISMATCH => Ok(Self::ConfigurationMismatch(fields.u32()?)),
            unknown => Err(DecodeError::UnknownKind(unknown)),
        }
    }
}

/// Encodes one id, or two while the previous configuration also decides. The message's kind
/// distinguishes the two encodings.
fn encode_configurations(out: &mut Vec<u8>, configurations: ConfigurationIds) {
    out.put_u64_le(configurations.current);
    if let Some(previous) = configurations.previous {
        out.put_u64_le(previous);
    }
}

fn encode_lease_requests(out: &mut Vec<u8>, requests: &[LeaseRequest]) {
    for request in requests {
        out.push(request.shard);
        out.push(u8::from(request.is_transfer));
        out.put_u64_le(request.token.0);
    }
}

fn encode_shard_tokens(out: &mut Vec<u8>, ownerships: &[ShardToken]) {
    for ownership in ownerships {
        out.push(ownership.shard);
        out.put_u64_le(ownership.token.0);
    }
}

fn encode_shard_statuses(out: &mut Vec<u8>, statuses: &[ShardStatus]) {
    for status in statuses {
        out.push(status.shard);
        out.put_u64_le(status.highest_token.0);
        out.put_u64_le(status.owner.map_or(0, |owner| owner.0));
        out.put_u16_le(status.remaining_ms);
    }
}

fn encode_configuration_status(out: &mut Vec<u8>, status: ConfigurationStatus) {
    let flag = |is_set: bool, flag: u8| if is_set { flag } else { 0 };
    out.put_u64_le(status.configuration_id);
    out.push(
        flag(status.is_sealed, status_flag::SEALED)
            | flag(status.is_settled, status_flag::SETTLED)
            | flag(status.is_previous_settled, status_flag::PREVIOUS_SETTLED),
    );
    out.put_u64_le(status.highest_token.0);
}

/// The bytes of a message that are not decoded yet. Each method removes one field from the front.
struct Decoder<'a>(&'a [u8]);

impl Decoder<'_> {
    fn u8(&mut self) -> Result<u8, DecodeError> {
        self.0.try_get_u8().map_err(|_| DecodeError::Truncated)
    }

    fn u16(&mut self) -> Result<u16, DecodeError> {
        self.0.try_get_u16_le().map_err(|_| DecodeError::Truncated)
    }

    fn u32(&mut self) -> Result<u32, DecodeError> {
        self.0.try_get_u32_le().map_err(|_| DecodeError::Truncated)
    }

    fn u64(&mut self) -> Result<u64, DecodeError> {
        self.0.try_get_u64_le().map_err(|_| DecodeError::Truncated)
    }

    fn token(&mut self) -> Result<FencingToken, DecodeError> {
        Ok(FencingToken(self.u64()?))
    }

    fn shard_token(&mut self) -> Result<ShardToken, DecodeError> {
        Ok(ShardToken {
            shard: self.u8()?,
            token: self.token()?,
        })
    }

    fn current_configuration(&mut self) -> Result<ConfigurationIds, DecodeError> {
        Ok(ConfigurationIds {
            current: self.u64()?,
            previous: None,
        })
    }

    fn joint_configurations(&mut self) -> Result<ConfigurationIds, DecodeError> {
        Ok(ConfigurationIds {
            current: self.u64()?,
            previous: Some(self.u64()?).filter(|previous| *previous != 0),
        })
    }

    fn lease_request_message(
        &mut self,
        configurations: ConfigurationIds,
    ) -> Result<Message, DecodeError> {
        Ok(Message::LeaseRequest {
            configurations,
            request_id: self.u32()?,
            ttl_ms: self.u16()?,
            requests: self.until_end(Self::lease_request)?,
        })
    }

    fn lease_request(&mut self) -> Result<LeaseRequest, DecodeError> {
        let shard = self.u8()?;
        let is_transfer = self.u8()? == 1;
        let token = self.token()?;
        Ok(LeaseRequest {
            shard,
            token,
            is_transfer,
        })
    }

    fn shard_status(&mut self) -> Result<ShardStatus, DecodeError> {
        Ok(ShardStatus {
            shard: self.u8()?,
            highest_token: self.token()?,
            owner: Some(self.u64()?).filter(|owner| *owner != 0).map(NodeId),
            remaining_ms: self.u16()?,
        })
    }

    fn configuration_status(&mut self) -> Result<ConfigurationStatus, DecodeError> {
        let configuration_id = self.u64()?;
        let flags = self.u8()?;
        Ok(ConfigurationStatus {
            configuration_id,
            is_sealed: flags & status_flag::SEALED != 0,
            is_settled: flags & status_flag::SETTLED != 0,
            is_previous_settled: flags & status_flag::PREVIOUS_SETTLED != 0,
            highest_token: self.token()?,
        })
    }

    /// Decodes entries until no bytes are left.
    fn until_end<T>(
        &mut self,
        mut decode_entry: impl FnMut(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Vec<T>, DecodeError> {
        let mut entries = Vec::new();
        while !self.0.is_empty() {
            entries.push(decode_entry(self)?);
        }
        Ok(entries)
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
