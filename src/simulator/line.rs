//! One line of the protocol: a message type and name=value fields.

use super::ProtocolError;

/// Names of the fields whose value is the rest of the line, including spaces.
const TEXT_FIELDS: [&str; 2] = ["facts", "note_text"];
/// Initial capacity for fields, sufficient for a typical request or outcome.
const TYPICAL_FIELD_COUNT: usize = 8;

/// A line split into its message type and its fields.
#[derive(Debug)]
pub struct Line<'a> {
    /// The message type, such as `CALL`.
    pub message_type: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line.
    ///
    /// # Errors
    ///
    /// The line has no message type, or a part that is not a field.
    pub fn parse(line: &'a str) -> Result<Self, ProtocolError> {
        let (message_type, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        if message_type.is_empty() {
            return Err(ProtocolError::NoMessageType);
        }
        let mut fields = Vec::with_capacity(TYPICAL_FIELD_COUNT);
        while !rest.is_empty() {
            let Some((name, tail)) = rest.split_once('=') else {
                return Err(ProtocolError::MalformedField(rest.to_owned()));
            };
            if name.is_empty() || name.contains(' ') {
                return Err(ProtocolError::InvalidName(name.to_owned()));
            }
            let (value, tail) = if TEXT_FIELDS.contains(&name) {
                (tail, "")
            } else {
                tail.split_once(' ').unwrap_or((tail, ""))
            };
            fields.push((name, value));
            rest = tail;
        }
        Ok(Self {
            message_type,
            fields,
        })
    }

    /// The value of a field; `None` if the field is missing.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&'a str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(field, _)| *field == name)
            .map(|(_, value)| *value)
    }

    /// The value of a required field.
    ///
    /// # Errors
    ///
    /// The field is missing.
    pub fn required_text(&self, name: &str) -> Result<&'a str, ProtocolError> {
        self.get(name)
            .ok_or_else(|| ProtocolError::missing_field(name))
    }

    /// The value of a field as a number; `None` if the field is missing.
    ///
    /// # Errors
    ///
    /// The value is not a finite number.
    pub fn number(&self, name: &str) -> Result<Option<f64>, ProtocolError> {
        self.get(name)
            .map(|value| parse_number(name, value))
            .transpose()
    }

    /// The value of a required field as a number.
    ///
    /// # Errors
    ///
    /// The field is missing, or its value is not a finite number.
    pub fn required_number(&self, name: &str) -> Result<f64, ProtocolError> {
        self.number(name)?
            .ok_or_else(|| ProtocolError::missing_field(name))
    }

    /// The value of a field as an unsigned integer; `None` if the field is missing.
    ///
    /// # Errors
    ///
    /// The value is not an unsigned 64-bit integer.
    pub fn integer(&self, name: &str) -> Result<Option<u64>, ProtocolError> {
        let parse = |value: &str| {
            value.parse().map_err(|_| ProtocolError::NotAnInteger {
                name: name.to_owned(),
                value: value.to_owned(),
            })
        };
        self.get(name).map(parse).transpose()
    }

    /// The value of a required field as an unsigned integer.
    ///
    /// # Errors
    ///
    /// The field is missing, or its value is not an unsigned 64-bit integer.
    pub fn required_integer(&self, name: &str) -> Result<u64, ProtocolError> {
        self.integer(name)?
            .ok_or_else(|| ProtocolError::missing_field(name))
    }

    /// The value of a required field as an index.
    ///
    /// # Errors
    ///
    /// The field is missing, or its value is not an unsigned integer or is too large for an index.
    pub fn required_index(&self, name: &str) -> Result<usize, ProtocolError> {
        let value = self.required_integer(name)?;
        usize::try_from(value).map_err(|_| ProtocolError::TooLarge {
            name: name.to_owned(),
            value,
        })
    }

    /// The error for a value that the protocol does not define for its field.
    pub(super) fn unknown_value(name: &str, value: &str) -> ProtocolError {
        ProtocolError::UnknownValue {
            name: name.to_owned(),
            value: value.to_owned(),
        }
    }
}

/// Parses a value of a field as a finite number.
pub(super) fn parse_number(name: &str, value: &str) -> Result<f64, ProtocolError> {
    match value.parse::<f64>() {
        Ok(number) if number.is_finite() => Ok(number),
        _ => Err(ProtocolError::NotANumber {
            name: name.to_owned(),
            value: value.to_owned(),
        }),
    }
}
