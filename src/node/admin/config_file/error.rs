//! Errors in an operators' file, with their location.

use std::error::Error;
use std::fmt;
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};

use toml::Spanned;

/// Error in an operators' file, with its location if it is known.
#[derive(Debug)]
pub struct ConfigFileError {
    file: PathBuf,
    location: Option<Location>,
    problem: Problem,
}

/// The location of a problem in an operators' file.
#[derive(Debug)]
struct Location {
    /// The line number, counted from 1.
    line: usize,
    /// The key or section on that line or, within a value of several lines, on the nearest line above.
    key: Option<String>,
}

/// A problem in an operators' file.
#[derive(Debug)]
#[non_exhaustive]
pub enum Problem {
    /// The file cannot be read.
    Read(io::Error),
    /// The file is too large.
    FileTooLarge {
        /// The maximum size, in bytes.
        max_bytes: u64,
    },
    /// The text is not TOML, a key is unknown or missing, or a value is of the wrong type or out of range.
    Syntax(String),
    /// The key file of `[instances]` cannot be used.
    KeyFile(Box<dyn Error + Send + Sync>),
    /// The name of this node is invalid.
    InvalidOwnName {
        /// The maximum length of a name, in bytes.
        max_bytes: usize,
    },
    /// An acceptor has this name, which is invalid.
    InvalidNodeName(String),
    /// A name is empty or too long.
    NameLength {
        /// The kind of the item that has the name.
        subject: &'static str,
        /// The maximum length of a name, in bytes.
        max_bytes: usize,
    },
    /// A list has too few or too many items.
    ItemCount {
        /// The kind of the items, in the plural.
        items: &'static str,
        /// The minimum number of items.
        min: usize,
        /// The maximum number of items.
        max: usize,
    },
    /// The file has too many sections of one kind.
    TooManySections {
        /// The kind of the items that the sections describe, in the plural.
        subjects: &'static str,
        /// The maximum number of sections.
        max: usize,
    },
    /// Two sources have the same name.
    DuplicateSource,
    /// Two sections have the same server id.
    DuplicateServer,
    /// The same address is listed twice.
    DuplicateAddress {
        /// The id of the server for which it was listed first.
        server: String,
    },
    /// The service name of a source is empty.
    EmptyServiceName,
    /// A source with `names_servers` identifies servers by address instead of by id.
    NamesServersByAddress,
    /// `suspect_ms` is shorter than three probe intervals.
    SuspicionTooShort,
    /// The file has a section `[leases]` but no `[instances]`.
    LeasesNeedInstances,
    /// The file has a section `[word]` but no `[instances]`.
    OutlierDetectionNeedsInstances,
    /// The settings of `[leases]` are invalid.
    LeaseSettings(Box<dyn Error + Send + Sync>),
    /// The settings of `[word]` are invalid.
    OutlierDetectionSettings(outlier_detection::SettingsError),
}

/// A problem and its byte range in the file's text.
#[derive(Debug)]
pub(super) struct LocatedProblem {
    pub(super) span: Range<usize>,
    pub(super) problem: Problem,
}

impl LocatedProblem {
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

    /// The line of the problem, counted from 1; `None` if the problem has no location, for example if the file could
    /// not be read.
    #[must_use]
    pub fn line(&self) -> Option<usize> {
        self.location.as_ref().map(|location| location.line)
    }

    /// The key or section on that line or, within a value of several lines, on the nearest line above.
    #[must_use]
    pub fn key(&self) -> Option<&str> {
        self.location.as_ref()?.key.as_deref()
    }

    /// The problem, without its location.
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
            Self::FileTooLarge { max_bytes } => write!(f, "larger than {max_bytes} bytes"),
            Self::Syntax(message) => f.write_str(message),
            Self::KeyFile(error) | Self::LeaseSettings(error) => error.fmt(f),
            Self::InvalidOwnName { max_bytes } => write!(
                f,
                "a node's name must be 1 to {max_bytes} printable ASCII characters without spaces"
            ),
            Self::InvalidNodeName(name) => write!(f, "{name:?} cannot be a node's name"),
            Self::NameLength { subject, max_bytes } => {
                write!(f, "a {subject}'s name must be 1 to {max_bytes} bytes long")
            }
            Self::ItemCount { items, min: 0, max } => write!(f, "at most {max} {items} allowed"),
            Self::ItemCount { items, min, max } => write!(f, "{min} to {max} {items} required"),
            Self::TooManySections { subjects, max } => {
                write!(f, "there are more than {max} {subjects}")
            }
            Self::DuplicateSource => f.write_str("another source has this name"),
            Self::DuplicateServer => f.write_str("another section has this server id"),
            Self::DuplicateAddress { server } => {
                write!(f, "the address already belongs to server {server:?}")
            }
            Self::EmptyServiceName => f.write_str("the service name is empty"),
            Self::NamesServersByAddress => f.write_str(
                "a source with `names_servers` must identify servers by id, not by address",
            ),
            Self::SuspicionTooShort => {
                f.write_str("the suspicion timeout must be at least three probe intervals")
            }
            Self::LeasesNeedInstances => {
                f.write_str("leases need [instances] to find the other nodes")
            }
            Self::OutlierDetectionNeedsInstances => {
                f.write_str("outlier detection needs [instances] to find the other nodes")
            }
            Self::OutlierDetectionSettings(error) => error.fmt(f),
        }
    }
}
