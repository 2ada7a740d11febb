//! The messages that nodes exchange about leases, and their encoding.
//!
//! A message is one byte for its kind and the fields of that kind. Numbers are little-endian. The
//! encoding is the same as in version 45ea4e8, whose nodes may run in the same fleet:
//! `golden_tests` has the bytes of each kind.

use std::fmt;

use bytes::{Buf, BufMut};

use crate::identity::{FencingToken, NodeId, Shard, ShardToken};

/// The longest message, in bytes: with the seal, the head and a name round it a datagram has 256.
pub const MAX_MESSAGE_BYTES: usize = 170;
/// The longest payload of an effect, in bytes.
pub const MAX_EFFECT_BYTES: usize = MAX_MESSAGE_BYTES - 10;
/// Lease requests that fit a message.
pub const MAX_LEASE_REQUESTS: usize = (MAX_MESSAGE_BYTES - 23) / 10;
/// Shard statuses that fit a message.
pub const MAX_SHARD_STATUSES: usize = (MAX_MESSAGE_BYTES - 9) / 19;

/// The first byte of a message. Kinds with the previous configuration are seen only while acceptors
/// are replaced.
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

/// The bits of a [`ConfigurationStatus`].
mod status_flag {
    pub const SEALED: u8 = 1;
    pub const SETTLED: u8 = 2;
    pub const PREVIOUS_SETTLED: u8 = 4;
}

/// A request for one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    pub shard: Shard,
    pub token: FencingToken,
    /// The owner before has given up the shard, under the token before this one, whatever grant the
    /// acceptor still has for it.
    pub is_transfer: bool,
}

/// What an acceptor has granted of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardStatus {
    pub shard: Shard,
    pub highest_token: FencingToken,
    /// `None`: the shard is free.
    pub owner: Option<NodeId>,
    pub remaining_ms: u16,
}

/// The ids of the configuration that a node has, and of the previous one while both decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationIds {
    pub current: u64,
    pub previous: Option<u64>,
}

/// What a node knows of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationStatus {
    pub configuration_id: u64,
    /// The sender is an acceptor of the previous configuration, has granted nothing under it alone
    /// for longer than any lease, and never will.
    pub is_sealed: bool,
    /// The configuration decides alone: no process can act under an earlier one.
    pub is_settled: bool,
    /// No process can act under a configuration before the previous one.
    pub is_previous_settled: bool,
    /// The highest token that the sender knows.
    pub highest_token: FencingToken,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Requests leases for so long, counted from when the request was sent.
    LeaseRequest {
        configurations: ConfigurationIds,
        request_id: u32,
        ttl_ms: u16,
        requests: Vec<LeaseRequest>,
    },
    /// An acceptor grants these.
    Granted {
        request_id: u32,
        granted: Vec<ShardToken>,
    },
    /// An acceptor rejects the requests for these.
    Rejected {
        shards: Vec<ShardStatus>,
    },
    /// The sender owns these no more.
    Release {
        released: Vec<ShardToken>,
    },
    /// The sender has given up this ownership, and the receiver may request the next one.
    Transfer(ShardToken),
    /// The sender would like to transfer this to the receiver.
    TransferOffer(ShardToken),
    /// The sender is ready to own what it was offered.
    TransferAccepted(ShardToken),
    /// Requests what has changed since a version of the acceptor's table.
    TableRequest {
        configurations: ConfigurationIds,
        since_version: u64,
    },
    /// What has changed, up to this version.
    Table {
        version: u64,
        shards: Vec<ShardStatus>,
    },
    /// Requests the highest token that the receiver knows.
    HighestTokenRequest {
        configuration_id: u64,
    },
    HighestToken(FencingToken),
    /// Requests how far a reconfiguration is.
    ConfigurationStatusRequest {
        configurations: ConfigurationIds,
    },
    ConfigurationStatus(ConfigurationStatus),
    /// What the sender did as the owner of a shard.
    Effect {
        ownership: ShardToken,
        payload: Vec<u8>,
    },
    /// The receiver has another configuration than the sender, which has this number.
    ConfigurationMismatch(u32),
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Longer than [`MAX_MESSAGE_BYTES`]: how many bytes.
    TooLong(usize),
    /// A kind that this version does not know.
    UnknownKind(u8),
    /// The message ends within a field.
    Truncated,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(length) => write!(f, "a lease message of {length} bytes is too long"),
            Self::UnknownKind(kind) => write!(f, "lease messages of kind {kind} are unknown"),
            Self::Truncated => write!(f, "the lease message is truncated"),
        }
    }
}

impl std::error::Error for DecodeError {}

impl Message {
    /// The message as bytes, at most [`MAX_MESSAGE_BYTES`] if the lists are within their bounds.
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

    /// The message that bytes stand for.
    ///
    /// # Errors
    ///
    /// The bytes are no message of this version.
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

/// One id, or two where the previous configuration decides too: the kind says which.
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

/// The rest of a message. Each function takes one field from its front.
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

    /// One entry after another until nothing is left.
    fn until_end<T>(
        &mut self,
        mut entry: impl FnMut(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Vec<T>, DecodeError> {
        let mut entries = Vec::new();
        while !self.0.is_empty() {
            entries.push(entry(self)?);
        }
        Ok(entries)
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
