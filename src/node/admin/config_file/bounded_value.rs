//! Types of values that are checked while they are parsed, so that an error names the line and key of the value.

use std::str::FromStr;

use consul::{FieldSource, KeySource};
use pool::Address;
use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// Defines a number type whose parsing fails outside of a range.
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
    /// A part of a whole.
    Fraction(f64),
    0.0..=1.0,
    "a share lies between 0 and 1"
);

bounded_number!(
    /// A duration of up to a day.
    Seconds(f64),
    0.0..=86_400.0,
    "a time lies between 0 and 86400 seconds"
);

bounded_number!(
    /// The interval between polls.
    PollIntervalMs(f64),
    10.0..=10_000.0,
    "a poll interval lies between 10 and 10000 milliseconds"
);

bounded_number!(
    /// The interval between a node's probes of other nodes.
    ProbeIntervalMs(f64),
    50.0..=10_000.0,
    "a probe interval lies between 50 and 10000 milliseconds"
);

bounded_number!(
    /// How long a suspected node has to refute before it is declared dead.
    SuspicionMs(f64),
    250.0..=600_000.0,
    "a suspicion time lies between 250 and 600000 milliseconds"
);

bounded_number!(
    /// Events per second.
    RatePerSecond(f64),
    0.1..=100_000.0,
    "a rate lies between 0.1 and 100000 a second"
);

bounded_number!(
    /// A limit on a number of things; zero would stop the node from serving.
    CountLimit(usize),
    1..=1_000_000,
    "a limit lies between 1 and 1000000"
);

bounded_number!(
    /// How long a blocking query may wait, in the range that Consul's API documents.
    QueryWaitSeconds(u32),
    1..=600,
    "a query waits 1 to 600 whole seconds"
);

impl Seconds {
    pub fn as_ms(self) -> f64 {
        self.0 * 1e3
    }
}

/// A socket address or a path of a Unix socket.
pub struct AddressText(pub Address);

impl<'de> Deserialize<'de> for AddressText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Address::from_str(&text).map(Self).map_err(Error::custom)
    }
}

/// A field of an instance in Consul.
pub struct FieldText(pub FieldSource);

impl<'de> Deserialize<'de> for FieldText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        FieldSource::from_str(&text)
            .map(Self)
            .map_err(Error::custom)
    }
}

/// How an instance in Consul identifies a server: by a field, or by its address.
pub struct ServerIdText(pub KeySource);

impl<'de> Deserialize<'de> for ServerIdText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        if text == "address" {
            return Ok(Self(KeySource::Address));
        }
        match FieldSource::from_str(&text) {
            Ok(field) => Ok(Self(KeySource::Id(field))),
            Err(error) => Err(Error::custom(format_args!("{error}, nor `address`"))),
        }
    }
}
