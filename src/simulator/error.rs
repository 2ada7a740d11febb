//! Errors in the lines of the protocol.

use std::fmt;

use crate::settings::SettingsFormatError;

/// Error in a line of the simulator's protocol.
#[derive(Debug)]
pub enum ProtocolError {
    /// The line does not begin with a message type.
    NoMessageType,
    /// The remainder of the line, given here, contains no `=`.
    MalformedField(String),
    /// A field's name is empty or contains a space.
    InvalidName(String),
    /// A required field is missing, with its name.
    MissingField(String),
    /// A value is not a finite number.
    NotANumber {
        /// The field's name.
        name: String,
        /// The field's value.
        value: String,
    },
    /// A value is not an unsigned 64-bit integer.
    NotAnInteger {
        /// The field's name.
        name: String,
        /// The field's value.
        value: String,
    },
    /// An integer is too large for an index.
    TooLarge {
        /// The field's name.
        name: String,
        /// The field's value.
        value: u64,
    },
    /// A value is neither 1 nor 0.
    NotAFlag {
        /// The field's name.
        name: String,
        /// The field's value.
        value: String,
    },
    /// A value is not among those that the protocol defines for its field.
    UnknownValue {
        /// The field's name.
        name: String,
        /// The field's value.
        value: String,
    },
    /// A message of another type was received before the last entry of a server list.
    EntryExpected {
        /// The type of the message.
        message_type: String,
    },
    /// No server list with this number was received.
    UnknownList(usize),
    /// The number of a server list is not below [`MAX_LISTS`](super::MAX_LISTS).
    ListOutOfRange(usize),
    /// The settings of an instance are invalid.
    Settings(SettingsFormatError),
}

impl ProtocolError {
    pub(super) fn missing_field(name: &str) -> Self {
        Self::MissingField(name.to_owned())
    }
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoMessageType => f.write_str("no message type"),
            Self::MalformedField(text) => write!(f, "`{text}` is not a name=value field"),
            Self::InvalidName(name) => write!(f, "`{name}` is not a valid field name"),
            Self::MissingField(name) => write!(f, "`{name}` is missing"),
            Self::NotANumber { name, value } => {
                write!(f, "`{name}={value}` is not a finite number")
            }
            Self::NotAnInteger { name, value } => {
                write!(f, "`{name}={value}` is not an unsigned 64-bit integer")
            }
            Self::TooLarge { name, value } => {
                write!(f, "`{name}={value}` is too large for an index")
            }
            Self::NotAFlag { name, value } => {
                write!(f, "`{name}={value}` is not a flag: expected 1 or 0")
            }
            Self::UnknownValue { name, value } => write!(f, "`{name}={value}` is an unknown value"),
            Self::EntryExpected { message_type } => {
                write!(
                    f,
                    "expected an entry of the server list, got `{message_type}`"
                )
            }
            Self::UnknownList(number) => write!(
                f,
                "`roster_id={number}`: no server list with this number was received"
            ),
            Self::ListOutOfRange(number) => write!(f, "`roster_id={number}` is out of range"),
            Self::Settings(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ProtocolError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Settings(error) => Some(error),
            _ => None,
        }
    }
}

impl From<SettingsFormatError> for ProtocolError {
    fn from(error: SettingsFormatError) -> Self {
        Self::Settings(error)
    }
}
