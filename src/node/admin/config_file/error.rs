//! What is wrong with an operators' file, and where.

use std::error::Error;
use std::fmt;
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};

use toml::Spanned;

/// Why an operators' file cannot be used.
#[derive(Debug)]
pub struct ConfigFileError {
    file: PathBuf,
    location: Option<Location>,
    problem: Problem,
}

/// A place in an operators' file.
#[derive(Debug)]
struct Location {
    /// Counted from one.
    line: usize,
    /// The key or section on that line, or, for a value that goes over several lines, on the nearest line before.
    key: Option<String>,
}

/// What is wrong with an operators' file.
#[derive(Debug)]
#[non_exhaustive]
pub enum Problem {
    /// The file cannot be read.
    Read(io::Error),
    /// The file is too large.
    FileTooLarge {
        /// The largest size.
        max_bytes: u64,
    },
    /// The text is not TOML, a key is unknown or missing, or a value is of the wrong type or out of range.
    Syntax(String),
    /// The key file of `[instances]` cannot be used.
    KeyFile(Box<dyn Error + Send + Sync>),
    /// A name of this node that is not valid.
    InvalidOwnName {
        /// The longest name.
        max_bytes: usize,
    },
    /// A node's name that is not valid, among the acceptors.
    InvalidNodeName(String),
    /// A name that is empty or too long.
    NameLength {
        /// What is named.
        subject: &'static str,
        /// The longest name.
        max_bytes: usize,
    },
    /// A list with too few or too many items.
    ItemCount {
        /// What is listed.
        items: &'static str,
        /// The fewest.
        min: usize,
        /// The most.
        max: usize,
    },
    /// More sections of a kind than there may be.
    TooManySections {
        /// What a section describes.
        subjects: &'static str,
        /// The most.
        max: usize,
    },
    /// A source with the name of another one.
    DuplicateSource,
    /// A server with the id of another one.
    DuplicateServer,
    /// An address that already belongs to this server.
    DuplicateAddress {
        /// The other server's id.
        server: String,
    },
    /// The service of a source has no name.
    EmptyServiceName,
    /// A source is to name servers, but identifies them by address.
    NamesServersByAddress,
    /// `suspect_ms` is too short for the number of probes before a suspicion.
    SuspicionTooShort,
    /// `[leases]` without `[instances]`.
    LeasesNeedInstances,
    /// `[word]` without `[instances]`.
    OutlierDetectionNeedsInstances,
    /// The settings of `[leases]` are not valid.
    LeaseSettings(Box<dyn Error + Send + Sync>),
    /// The settings of `[word]` are not valid.
    OutlierDetectionSettings(outlier_detection::SettingsError),
}

/// A problem and the part of the text that it is about.
#[derive(Debug)]
pub(super) struct InvalidValue {
    pub(super) span: Range<usize>,
    pub(super) problem: Problem,
}

impl InvalidValue {
    pub(super) fn new<T>(value: &Spanned<T>, problem: Problem) -> Self {
        Self {
            span: value.span(),
            problem,
        }
    }
}

impl ConfigFileError {
    pub(super) fn of_file(file: &Path, problem: Problem) -> Self {
        Self {
            file: file.to_owned(),
            location: None,
            problem,
        }
    }

    pub(super) fn at_offset(file: &Path, text: &str, offset: usize, problem: Problem) -> Self {
        Self {
            file: file.to_owned(),
            location: Some(Location::of_offset(text, offset)),
            problem,
        }
    }

    /// The line, counted from one; `None` if the file could not be read.
    #[must_use]
    pub fn line(&self) -> Option<usize> {
        self.location.as_ref().map(|location| location.line)
    }

    /// The key or section on that line, or, for a value that goes over several lines, on the nearest line before.
    #[must_use]
    pub fn key(&self) -> Option<&str> {
        self.location.as_ref()?.key.as_deref()
    }

    /// What is wrong there.
    #[must_use]
    pub fn problem(&self) -> &Problem {
        &self.problem
    }
}

impl Location {
    fn of_offset(text: &str, offset: usize) -> Self {
        let lines_before = text.get(..offset).unwrap_or(text).matches('\n').count();
        let lines: Vec<_> = text.lines().take(lines_before + 1).map(str::trim).collect();
        let key = lines
            .iter()
            .rev()
            .filter(|line| !line.starts_with('#'))
            .find_map(|line| section_or_key(line));
        Self {
            line: lines_before + 1,
            key: key
                .map(|key| key.trim().trim_matches('"').to_owned())
                .filter(|key| !key.is_empty()),
        }
    }
}

fn section_or_key(line: &str) -> Option<&str> {
    match line.strip_prefix('[') {
        Some(section) => section.trim_start_matches('[').split(']').next(),
        None => line.split_once('=').map(|(key, _)| key),
    }
}

impl fmt::Display for ConfigFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(Location { line, key }) = &self.location {
            write!(f, ", line {line}")?;
            if let Some(key) = key {
                write!(f, ", key `{key}`")?;
            }
        }
        write!(f, ": {}", self.problem)
    }
}

impl Error for ConfigFileError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match &self.problem {
            Problem::Read(error) => Some(error),
            Problem::KeyFile(error) | Problem::LeaseSettings(error) => Some(error.as_ref()),
            Problem::OutlierDetectionSettings(error) => Some(error),
            _ => None,
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => error.fmt(f),
            Self::FileTooLarge { max_bytes } => write!(f, "it is larger than {max_bytes} bytes"),
            Self::Syntax(message) => f.write_str(message),
            Self::KeyFile(error) | Self::LeaseSettings(error) => error.fmt(f),
            Self::InvalidOwnName { max_bytes } => write!(
                f,
                "a node's name is 1 to {max_bytes} characters of ASCII without spaces"
            ),
            Self::InvalidNodeName(name) => write!(f, "{name:?} cannot be a node's name"),
            Self::NameLength { subject, max_bytes } => {
                write!(f, "a {subject}'s name has 1 to {max_bytes} bytes")
            }
            Self::ItemCount { items, min: 0, max } => write!(f, "there are at most {max} {items}"),
            Self::ItemCount { items, min, max } => write!(f, "there are {min} to {max} {items}"),
            Self::TooManySections { subjects, max } => {
                write!(f, "there are more than {max} {subjects}")
            }
            Self::DuplicateSource => f.write_str("there is a source of this name already"),
            Self::DuplicateServer => f.write_str("there is a server of this id already"),
            Self::DuplicateAddress { server } => {
                write!(f, "the address belongs to server {server:?} already")
            }
            Self::EmptyServiceName => f.write_str("the name of a service is empty"),
            Self::NamesServersByAddress => {
                f.write_str("a source that names servers identifies them by id, not by address")
            }
            Self::SuspicionTooShort => {
                f.write_str("a node is probed at least three times before it is suspected")
            }
            Self::LeasesNeedInstances => {
                f.write_str("leases need [instances]: nodes have to know each other")
            }
            Self::OutlierDetectionNeedsInstances => {
                f.write_str("outlier detection needs [instances]: nodes have to know each other")
            }
            Self::OutlierDetectionSettings(error) => error.fmt(f),
        }
    }
}
