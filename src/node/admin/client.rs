//! Admin client of the command line: queries a running node and formats the response as a table or as JSON.

use std::fmt::{self, Write as _};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{json, Value};

/// Timeout for connecting and for each read and write. A functioning node responds at once.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response, in bytes: several times the size of a response about the maximum number of nodes.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;
/// The last line of a complete response.
const END_OF_ROWS: &str = "EOF";
/// The first field of a response's first row, which describes the queried node itself.
const SELF_FIELD: &str = "self";
/// Placeholder for an unknown value.
const NO_VALUE: &str = "-";
/// Columns whose values are text even if they consist of digits.
const TEXT_COLUMNS: [&str; 2] = ["name", "owner"];

/// Error of a query.
#[derive(Debug)]
pub enum QueryError {
    /// The node cannot be reached, or the connection fails before the end of the response.
    Io(io::Error),
    /// The node rejected the command with this response.
    Rejected(String),
    /// This line of the response does not have the expected format.
    Malformed(String),
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "cannot query the node: {error}"),
            Self::Rejected(line) => write!(f, "the node rejected the command: {line}"),
            Self::Malformed(line) => write!(f, "malformed response from the node: {line:?}"),
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

/// An admin command whose response has a row about the node itself, which begins with `self`, followed by the rows of a
/// table.
#[derive(Debug, PartialEq, Eq)]
pub struct Query {
    command: &'static str,
    /// The fields of the row about the node, after `self`.
    node_fields: &'static [&'static str],
    /// The heading of the table. Each `{}` is replaced by the next of the node's fields.
    title: &'static str,
    /// The JSON key of the table's rows.
    rows_key: &'static str,
    columns: &'static [&'static str],
}

/// Queries the other nodes of the cluster, as seen by the queried node.
pub const MEMBERS: Query = Query {
    command: "MEMBERS",
    node_fields: &["name", "health", "incarnation"],
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

/// Queries the lease holder of each shard, as seen by the queried node.
pub const OWNERS: Query = Query {
    command: "OWNERS",
    node_fields: &["name", "keeper", "set"],
    title: "{}: acceptor: {}, set {}",
    rows_key: "shards",
    columns: &["shard", "owner", "fence", "left_ms", "since_ms"],
};

/// Queries the servers that nodes report as outliers, as seen by the queried node.
pub const HINTS: Query = Query {
    command: "HINTS",
    node_fields: &["name", "count"],
    title: "{}: {} servers are reported as outliers",
    rows_key: "hints",
    columns: &["server", "kind", "reporters", "age_ms", "weight"],
};

/// The result of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryResponse {
    query: &'static Query,
    /// The values of the query's `node_fields`, followed by the values of any additional fields.
    node_values: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Query {
    /// Sends the command to the admin server at `address` and reads the response. Blocks the thread.
    ///
    /// # Errors
    ///
    /// The node does not respond in time, rejects the command (for example, because it takes no part in leases), or
    /// sends a malformed response.
    pub fn send(&'static self, address: SocketAddr) -> Result<QueryResponse, QueryError> {
        let lines = request_lines(address, self.command)?;
        let mut rows: Vec<_> = lines.iter().map(|line| split_fields(line)).collect();
        if !rows.first().is_some_and(|row| self.is_node_row(row)) {
            let first = lines.into_iter().next();
            return Err(QueryError::Malformed(first.unwrap_or_default()));
        }
        let node_values = rows.remove(0).split_off(1);
        match rows.iter().find(|row| row.len() < self.columns.len()) {
            Some(row) => Err(QueryError::Malformed(row.join(" "))),
            None => Ok(QueryResponse {
                query: self,
                node_values,
                rows,
            }),
        }
    }

    fn is_node_row(&self, row: &[String]) -> bool {
        row.len() > self.node_fields.len() && row[0] == SELF_FIELD
    }
}

/// Sends a command and returns the lines of the response without the final `EOF`.
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
    /// Formats the response as one line of JSON, for scripts.
    #[must_use]
    pub fn to_json(&self) -> String {
        let Query {
            node_fields,
            rows_key,
            columns,
            ..
        } = self.query;
        let rows: Vec<_> = self
            .rows
            .iter()
            .map(|row| json_object(columns, row))
            .collect();
        json!({ SELF_FIELD: json_object(node_fields, &self.node_values), *rows_key: rows })
            .to_string()
    }

    /// Formats the response as a table with a heading, for a terminal.
    #[must_use]
    pub fn to_table(&self) -> String {
        let mut text = self.query.title.to_owned();
        for value in &self.node_values {
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
