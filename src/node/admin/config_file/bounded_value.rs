//! Types of values that are checked while they are parsed, so that an error names the line and key of the value.

use std::str::FromStr;

use consul::{FieldSource, KeySource};
use pool::Address;
use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// Defines a number type that rejects numbers outside a range when it is parsed.
macro_rules! bounded_number {
    ($(#[$doc:meta])* $name:ident($number:ty), $range:expr, $message:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy)]
        pub struct $name(pub $number);

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let number = <$number>::deserialize(deserializer)?;
                if ($range).contains(&number) {
                    Ok(Self(number))
                } else {
                    Err(Error::custom($message))
                }
            }
        }
    };
}

bounded_number!(
    /// A fraction from 0 to 1.
    Fraction(f64),
    0.0..=1.0,
    "a fraction must be between 0 and 1"
);

bounded_number!(
    /// A duration of up to one day, in seconds.
    Seconds(f64),
    0.0..=86_400.0,
    "a duration must be between 0 and 86400 seconds"
);

bounded_number!(
    /// The interval between polls, in milliseconds.
    PollIntervalMs(f64),
    10.0..=10_000.0,
    "a poll interval must be between 10 and 10000 milliseconds"
);

bounded_number!(
    /// The interval between a node's probes of other nodes, in milliseconds.
    ProbeIntervalMs(f64),
    50.0..=10_000.0,
    "a probe interval must be between 50 and 10000 milliseconds"
);

bounded_number!(
    /// Time without a datagram from a node after which it is suspected, in milliseconds.
    SuspicionMs(f64),
    250.0..=600_000.0,
    "a suspicion timeout must be between 250 and 600000 milliseconds"
);

bounded_number!(
    /// A rate from 0.1 to 100,000 events per second.
    RatePerSecond(f64),
    0.1..=100_000.0,
    "a rate must be between 0.1 and 100000 per second"
);

bounded_number!(
    /// A limit on a count, such as connections to a server. Zero would prevent the node from serving.
    CountLimit(usize),
    1..=1_000_000,
    "a limit must be between 1 and 1000000"
);

bounded_number!(
    /// The maximum wait of a blocking query, in seconds, in the range that Consul's API documents.
    QueryWaitSeconds(u32),
    1..=600,
    "a query's wait must be 1 to 600 whole seconds"
);

impl Seconds {
    pub fn as_ms(self) -> f64 {
        self.0 * 1e3
    }
}

/// A socket address or the path of a Unix socket.
pub struct AddressText(pub Address);

impl<'de> Deserialize<'de> for AddressText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Address::from_str(&text).map(Self).map_err(Error::custom)
    }
}

/// The field of an instance in Consul from which a value is read.
pub struct FieldText(pub FieldSource);

impl<'de> Deserialize<'de> for FieldText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        FieldSource::from_str(&text)
            .map(Self)
            .map_err(Error::custom)
    }
}

/// The identifier of an instance's server in Consul: a field or the instance's address.
pub struct ServerIdText(pub KeySource);

impl<'de> Deserialize<'de> for ServerIdText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        if text == "address" {
            return Ok(Self(KeySource::Address));
        }
        match FieldSource::from_str(&text) {
            Ok(field) => Ok(Self(KeySource::Id(field))),
            Err(error) => Err(Error::custom(format_args!("{error}, or `address`"))),
        }
    }
}
