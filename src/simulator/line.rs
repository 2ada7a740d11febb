//! One line of the protocol: a message and its name=value pairs.

use super::ProtocolError;

/// Pairs whose value is the rest of the line, spaces included.
const TEXT_FIELDS: [&str; 2] = ["facts", "note_text"];
/// Pairs that a line of requests or results ordinarily has.
const USUAL_PAIRS: usize = 8;

/// A line split into its message and its pairs.
#[derive(Debug)]
pub struct Line<'a> {
    /// The message.
    pub message: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line.
    ///
    /// # Errors
    ///
    /// It has no message, or a part that is not a pair.
    pub fn parse(line: &'a str) -> Result<Self, ProtocolError> {
        let (message, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        if message.is_empty() {
            return Err(ProtocolError::NoMessage);
        }
        let mut pairs = Vec::with_capacity(USUAL_PAIRS);
        while !rest.is_empty() {
            let Some((name, tail)) = rest.split_once('=') else {
                return Err(ProtocolError::NotAPair(rest.to_owned()));
            };
            if name.is_empty() || name.contains(' ') {
                return Err(ProtocolError::NotAName(name.to_owned()));
            }
            let (value, tail) = if TEXT_FIELDS.contains(&name) {
                (tail, "")
            } else {
                tail.split_once(' ').unwrap_or((tail, ""))
            };
            pairs.push((name, value));
            rest = tail;
        }
        Ok(Self { message, pairs })
    }

    /// The value of a pair, if it is there.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&'a str> {
        let mut pairs = self.pairs.iter();
        pairs.find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    /// The value of a pair that must be there.
    ///
    /// # Errors
    ///
    /// It is missing.
    pub fn text(&self, name: &str) -> Result<&'a str, ProtocolError> {
        self.get(name).ok_or_else(|| ProtocolError::missing(name))
    }

    /// A number, if it is there.
    ///
    /// # Errors
    ///
    /// It is not a finite number.
    pub fn number(&self, name: &str) -> Result<Option<f64>, ProtocolError> {
        self.get(name)
            .map(|value| parse_number(name, value))
            .transpose()
    }

    /// A number that must be there.
    ///
    /// # Errors
    ///
    /// It is missing, or not a finite number.
    pub fn required_number(&self, name: &str) -> Result<f64, ProtocolError> {
        self.number(name)?
            .ok_or_else(|| ProtocolError::missing(name))
    }

    /// A whole number, if it is there.
    ///
    /// # Errors
    ///
    /// It is not a whole number.
    pub fn integer(&self, name: &str) -> Result<Option<u64>, ProtocolError> {
        let parse = |value: &str| {
            value.parse().map_err(|_| ProtocolError::NotWhole {
                name: name.to_owned(),
                value: value.to_owned(),
            })
        };
        self.get(name).map(parse).transpose()
    }

    /// A whole number that must be there.
    ///
    /// # Errors
    ///
    /// It is missing, or not a whole number.
    pub fn required_integer(&self, name: &str) -> Result<u64, ProtocolError> {
        self.integer(name)?
            .ok_or_else(|| ProtocolError::missing(name))
    }

    /// An index that must be there.
    ///
    /// # Errors
    ///
    /// It is missing, not a whole number, or too large for an index.
    pub fn required_index(&self, name: &str) -> Result<usize, ProtocolError> {
        let value = self.required_integer(name)?;
        usize::try_from(value).map_err(|_| ProtocolError::TooLarge {
            name: name.to_owned(),
            value,
        })
    }

    /// The error for a pair whose value is not known.
    pub(super) fn unknown(name: &str, value: &str) -> ProtocolError {
        ProtocolError::Unknown {
            name: name.to_owned(),
            value: value.to_owned(),
        }
    }
}

/// Parses one value of a pair as a finite number.
pub(super) fn parse_number(name: &str, value: &str) -> Result<f64, ProtocolError> {
    match value.parse::<f64>() {
        Ok(number) if number.is_finite() => Ok(number),
        _ => Err(ProtocolError::NotANumber {
            name: name.to_owned(),
            value: value.to_owned(),
        }),
    }
}
