//! The admin client of the command line: requests rows of a running node and prints them as a table or as JSON.

use std::fmt::{self, Write as _};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{json, Value};

/// How long connecting, and each read and write, may take: a node that works responds at once.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The longest response that is read: a line for each of the most nodes there may be, several times over.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;
/// The last line of a response.
const END_OF_ROWS: &str = "EOF";
/// The first field of a response's first line.
const OWN_LINE: &str = "self";
/// What stands for a value that is not known.
const NO_VALUE: &str = "-";
/// Columns whose values are text even if they look like numbers.
const TEXT_COLUMNS: [&str; 2] = ["name", "owner"];

/// Why a query has no result.
#[derive(Debug)]
pub enum QueryError {
    /// The node cannot be reached, or its response is incomplete.
    Io(io::Error),
    /// The node rejected the command; with its response.
    Rejected(String),
    /// The response has not the form that the query expects; with the line in question.
    Malformed(String),
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "the node cannot be queried: {error}"),
            Self::Rejected(line) => write!(f, "the node rejects the command: {line}"),
            Self::Malformed(line) => write!(f, "malformed response of the node: {line:?}"),
        }
    }
}

impl std::error::Error for QueryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io(error) => Some(error),
            Self::Rejected(_) | Self::Malformed(_) => None,
        }
    }
}

impl From<io::Error> for QueryError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// An admin command whose response has a line about the node itself, which begins with `self`, and rows.
#[derive(Debug, PartialEq, Eq)]
pub struct Query {
    command: &'static str,
    /// The fields of the line about the node, after `self`.
    own_fields: &'static [&'static str],
    /// The heading of the table: each `{}` is the next of these fields.
    title: &'static str,
    /// The JSON key of the rows.
    rows_key: &'static str,
    columns: &'static [&'static str],
}

/// The other nodes of the cluster, as a node knows them.
pub const MEMBERS: Query = Query {
    command: "MEMBERS",
    own_fields: &["name", "health", "incarnation"],
    title: "{} is {}, incarnation {}",
    rows_key: "members",
    columns: &[
        "name",
        "state",
        "incarnation",
        "since_ms",
        "heard_ms",
        "address",
    ],
};

/// The lease holder of each shard, as a node knows it.
pub const OWNERS: Query = Query {
    command: "OWNERS",
    own_fields: &["name", "keeper", "set"],
    title: "{}: acceptor: {}, set {}",
    rows_key: "shards",
    columns: &["shard", "owner", "fence", "left_ms", "since_ms"],
};

/// The servers that nodes report as outliers, as a node knows them.
pub const HINTS: Query = Query {
    command: "HINTS",
    own_fields: &["name", "count"],
    title: "{}: {} servers are reported as outliers",
    rows_key: "hints",
    columns: &["server", "kind", "reporters", "age_ms", "weight"],
};

/// The result of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryResponse {
    query: &'static Query,
    /// Values of the query's own fields, and of any fields after them.
    own_values: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Query {
    /// Sends the command to the admin server at this address and reads the response. Blocks.
    ///
    /// # Errors
    ///
    /// The node cannot be reached in time, rejects the command (because it takes no part in what it is about), or
    /// sends a response of another form.
    pub fn send(&'static self, address: SocketAddr) -> Result<QueryResponse, QueryError> {
        let lines = request_lines(address, self.command)?;
        let mut rows: Vec<_> = lines.iter().map(|line| split_fields(line)).collect();
        if !rows.first().is_some_and(|row| self.is_own_line(row)) {
            let first = lines.into_iter().next();
            return Err(QueryError::Malformed(first.unwrap_or_default()));
        }
        let own_values = rows.remove(0).split_off(1);
        match rows.iter().find(|row| row.len() < self.columns.len()) {
            Some(row) => Err(QueryError::Malformed(row.join(" "))),
            None => Ok(QueryResponse {
                query: self,
                own_values,
                rows,
            }),
        }
    }

    fn is_own_line(&self, row: &[String]) -> bool {
        row.len() > self.own_fields.len() && row[0] == OWN_LINE
    }
}

/// Sends a command and reads the lines of the response but for the last one.
fn request_lines(address: SocketAddr, command: &str) -> Result<Vec<String>, QueryError> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut text = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut text)?;
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    match lines.pop() {
        Some(last) if last == END_OF_ROWS => Ok(lines),
        Some(last) if last.starts_with("400") => Err(QueryError::Rejected(last)),
        last => Err(QueryError::Malformed(last.unwrap_or_default())),
    }
}

fn split_fields(line: &str) -> Vec<String> {
    line.split(' ').map(str::to_owned).collect()
}

impl QueryResponse {
    /// The response as JSON on one line, for scripts.
    #[must_use]
    pub fn to_json(&self) -> String {
        let Query {
            own_fields,
            rows_key,
            columns,
            ..
        } = self.query;
        let rows: Vec<_> = self
            .rows
            .iter()
            .map(|row| json_object(columns, row))
            .collect();
        json!({ OWN_LINE: json_object(own_fields, &self.own_values), *rows_key: rows }).to_string()
    }

    /// The response as a table with a heading, for a terminal.
    #[must_use]
    pub fn to_table(&self) -> String {
        let mut text = self.query.title.to_owned();
        for value in &self.own_values {
            text = text.replacen("{}", value, 1);
        }
        text.push('\n');
        let widths = self.column_widths();
        push_table_row(&mut text, self.query.columns.iter().copied(), &widths);
        for row in &self.rows {
            push_table_row(&mut text, row.iter().map(String::as_str), &widths);
        }
        text
    }

    fn column_widths(&self) -> Vec<usize> {
        let width = |(column, heading): (usize, &&str)| {
            let cells = self.rows.iter().map(|row| row[column].len());
            cells.max().unwrap_or(0).max(heading.len())
        };
        self.query.columns.iter().enumerate().map(width).collect()
    }
}

fn push_table_row<'a>(text: &mut String, cells: impl Iterator<Item = &'a str>, widths: &[usize]) {
    for (cell, width) in cells.zip(widths) {
        let _ = write!(text, "{cell:width$}  "); // Writing to a string cannot fail.
    }
    text.truncate(text.trim_end().len());
    text.push('\n');
}

fn json_object(names: &[&str], values: &[String]) -> Value {
    let pairs = names.iter().zip(values).map(|(name, value)| {
        let value = if value == NO_VALUE {
            Value::Null
        } else if TEXT_COLUMNS.contains(name) {
            json!(value)
        } else {
            number_or_text(value)
        };
        ((*name).to_owned(), value)
    });
    Value::Object(pairs.collect())
}

fn number_or_text(value: &str) -> Value {
    match value.parse::<u64>() {
        Ok(number) => json!(number),
        Err(_) => json!(value),
    }
}
