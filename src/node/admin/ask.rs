//! Asks a running node, for the command line.

use std::fmt::{self, Write as _};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{json, Value};

/// How long a node may take to answer: it answers at once or is in trouble.
const PATIENCE: Duration = Duration::from_secs(5);
/// The longest answer that is read: a line for each of the most nodes there may be, several times over.
const MOST_ANSWER: u64 = 4 * 1024 * 1024;

/// Why a node could not be asked.
#[derive(Debug)]
pub enum AskError {
    /// It cannot be reached there, or its answer stops short.
    System(io::Error),
    /// It says no.
    Refused(String),
    /// What it says makes no sense here.
    Malformed(String),
}

impl fmt::Display for AskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System(error) => write!(f, "the node cannot be asked: {error}"),
            Self::Refused(line) => write!(f, "the node says: {line}"),
            Self::Malformed(line) => write!(f, "the node's answer makes no sense: {line:?}"),
        }
    }
}

impl std::error::Error for AskError {}

impl From<io::Error> for AskError {
    fn from(error: io::Error) -> Self {
        Self::System(error)
    }
}

fn ask(at: SocketAddr, call: &str) -> Result<Vec<String>, AskError> {
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut text = String::new();
    stream.take(MOST_ANSWER).read_to_string(&mut text)?;
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    match lines.pop() {
        Some(last) if last == "EOF" => Ok(lines),
        Some(last) if last.starts_with("400") => Err(AskError::Refused(last)),
        last => Err(AskError::Malformed(last.unwrap_or_default())),
    }
}

/// What a call's answer has: a line of the node's own, which begins with `self`, and rows.
#[derive(Debug, PartialEq, Eq)]
pub struct Layout {
    call: &'static str,
    /// What is on the first line, behind `self`.
    own: &'static [&'static str],
    /// How that is said on a terminal: each `{}` is the next of them.
    title: &'static str,
    /// What the rows are.
    rows: &'static str,
    columns: &'static [&'static str],
}

/// Which other nodes a node knows.
pub const MEMBERS: Layout = Layout {
    call: "MEMBERS",
    own: &["name", "health", "incarnation"],
    title: "{} is {}, incarnation {}",
    rows: "members",
    columns: &[
        "name",
        "state",
        "incarnation",
        "since_ms",
        "heard_ms",
        "address",
    ],
};

/// Who owns what, as far as a node knows.
pub const OWNERS: Layout = Layout {
    call: "OWNERS",
    own: &["name", "keeper", "set"],
    title: "{}: keeper: {}, set {}",
    rows: "shards",
    columns: &["shard", "owner", "fence", "left_ms", "since_ms"],
};

/// What is said of servers, as far as a node believes it.
pub const HINTS: Layout = Layout {
    call: "HINTS",
    own: &["name", "count"],
    title: "{}: {} servers are spoken of",
    rows: "hints",
    columns: &["server", "kind", "reporters", "age_ms", "weight"],
};

/// What a node answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    layout: &'static Layout,
    own: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Layout {
    /// Asks a node.
    ///
    /// # Errors
    ///
    /// It cannot be asked, or takes no part.
    pub fn ask(&'static self, at: SocketAddr) -> Result<Answer, AskError> {
        let words = |line: String| line.split(' ').map(str::to_owned).collect::<Vec<_>>();
        let mut rows: Vec<_> = ask(at, self.call)?.into_iter().map(words).collect();
        let is_own = |row: &Vec<String>| row.len() > self.own.len() && row[0] == "self";
        if !rows.first().is_some_and(is_own) {
            return Err(AskError::Malformed(
                rows.first().map(|row| row.join(" ")).unwrap_or_default(),
            ));
        }
        let own = rows.remove(0).split_off(1);
        match rows.iter().find(|row| row.len() < self.columns.len()) {
            Some(row) => Err(AskError::Malformed(row.join(" "))),
            None => Ok(Answer {
                layout: self,
                own,
                rows,
            }),
        }
    }
}

impl Answer {
    /// For scripts.
    #[must_use]
    pub fn json(&self) -> String {
        let Layout {
            own, rows, columns, ..
        } = self.layout;
        let all: Vec<_> = self.rows.iter().map(|row| object(columns, row)).collect();
        json!({ "self": object(own, &self.own), *rows: all }).to_string()
    }

    /// For a terminal.
    #[must_use]
    pub fn table(&self) -> String {
        let title = self
            .own
            .iter()
            .fold(self.layout.title.to_owned(), |title, word| {
                title.replacen("{}", word, 1)
            });
        format!("{title}\n{}", table(self.layout.columns, &self.rows))
    }
}

fn object(names: &[&str], row: &[String]) -> Value {
    let pairs = names.iter().zip(row).map(|(name, word)| {
        let is_name = ["name", "owner"].contains(name) && word != "-";
        (
            (*name).to_owned(),
            if is_name { json!(word) } else { value(word) },
        )
    });
    Value::Object(pairs.collect())
}

fn table(columns: &[&str], rows: &[Vec<String>]) -> String {
    let width = |at: usize| {
        let cells = rows.iter().map(|row| row[at].len());
        cells.max().unwrap_or(0).max(columns[at].len())
    };
    let widths: Vec<_> = (0..columns.len()).map(width).collect();
    let mut text = String::new();
    let mut line = |cells: &[&str]| {
        for (cell, width) in cells.iter().zip(&widths) {
            let _ = write!(text, "{cell:width$}  "); // Text grows without fail.
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    };
    line(columns);
    for row in rows {
        line(&row.iter().map(String::as_str).collect::<Vec<_>>());
    }
    text
}

/// A figure as one, `-` as nothing, and a word as it is.
fn value(word: &str) -> Value {
    match word.parse::<u64>() {
        Ok(figure) => json!(figure),
        Err(_) if word == "-" => Value::Null,
        Err(_) => json!(word),
    }
}
