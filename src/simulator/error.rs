//! What can be wrong with a line of the protocol.

use std::fmt;

use crate::settings::SettingsFormatError;

/// Why a line cannot be used.
#[derive(Debug)]
pub enum ProtocolError {
    /// The line has no message.
    NoMessage,
    /// The rest of the line does not begin with a pair.
    NotAPair(String),
    /// What stands before `=` is no name.
    NotAName(String),
    /// A pair is missing.
    Missing(String),
    /// A value is not a finite number.
    NotANumber {
        /// The pair's name.
        name: String,
        /// Its value.
        value: String,
    },
    /// A value is not a whole number.
    NotWhole {
        /// The pair's name.
        name: String,
        /// Its value.
        value: String,
    },
    /// A whole number is too large for an index.
    TooLarge {
        /// The pair's name.
        name: String,
        /// Its value.
        value: u64,
    },
    /// A value is neither 1 nor 0.
    NotAFlag {
        /// The pair's name.
        name: String,
        /// Its value.
        value: String,
    },
    /// A value is none of those that the protocol knows.
    Unknown {
        /// The pair's name.
        name: String,
        /// Its value.
        value: String,
    },
    /// Another message came while entries of a server list were outstanding.
    EntryExpected {
        /// The message.
        message: String,
    },
    /// No list of this number was received.
    UnknownList(usize),
    /// The protocol does not allow a list of this number.
    ListOutOfRange(usize),
    /// The settings of an instance cannot be used.
    Settings(SettingsFormatError),
}

impl ProtocolError {
    pub(super) fn missing(name: &str) -> Self {
        Self::Missing(name.to_owned())
    }
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoMessage => f.write_str("no message"),
            Self::NotAPair(text) => write!(f, "`{text}` is no name=value pair"),
            Self::NotAName(name) => write!(f, "`{name}` is no name"),
            Self::Missing(name) => write!(f, "`{name}` is missing"),
            Self::NotANumber { name, value } => write!(f, "`{name}={value}` is no number"),
            Self::NotWhole { name, value } => write!(f, "`{name}={value}` is no whole number"),
            Self::TooLarge { name, value } => write!(f, "`{name}={value}` is too large"),
            Self::NotAFlag { name, value } => write!(f, "`{name}={value}` is neither 1 nor 0"),
            Self::Unknown { name, value } => write!(f, "`{name}={value}` is unknown"),
            Self::EntryExpected { message } => {
                write!(f, "`{message}` where an entry of the list was due")
            }
            Self::UnknownList(number) => write!(f, "`roster_id={number}` is no list"),
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
