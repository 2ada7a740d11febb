//! The numbered server lists of the protocol, which all instances share.

use balancer::{Availability, ServerEntry, ServerId};

use super::{Line, ProtocolError};

/// Lists that can be kept at a time; their numbers are reused.
pub const MAX_LISTS: usize = 16;

/// One server of a list, still by its name: each instance numbers the names for itself.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// The server's name.
    pub name: String,
    pub(super) entry: ServerEntry,
}

impl ListedServer {
    /// Parses one line of a list.
    ///
    /// # Errors
    ///
    /// It is another message, or malformed.
    pub fn parse(line: &str) -> Result<Self, ProtocolError> {
        let line = Line::parse(line)?;
        if line.message != "M" {
            return Err(ProtocolError::EntryExpected {
                message: line.message.to_owned(),
            });
        }
        let availability = match line.text("availability")? {
            "2" => Availability::Ready,
            "0" => Availability::Draining,
            "3" => Availability::Gone,
            other => return Err(Line::unknown("availability", other)),
        };
        let started_at_ms = line.number("launched_ms")?.filter(|at_ms| *at_ms > 0.0);
        let (cell, zone) = (
            index_or_zero(&line, "block")?,
            index_or_zero(&line, "site")?,
        );
        let machine_kind = index_or_zero(&line, "type")?;
        let name = line.text("server")?;
        Ok(Self {
            name: name.to_owned(),
            entry: ServerEntry {
                server: ServerId(0),
                ring_position: stable_hash::hash_name(name),
                availability,
                started_at_ms,
                cell,
                zone,
                machine_kind,
            },
        })
    }
}

fn index_or_zero(line: &Line<'_>, name: &str) -> Result<usize, ProtocolError> {
    Ok(line.integer(name)?.unwrap_or(0) as usize)
}

/// A list whose entries are being received.
#[derive(Debug)]
struct PartialList {
    number: usize,
    expected: usize,
    servers: Vec<ListedServer>,
}

/// The lists received so far.
#[derive(Debug, Default)]
pub struct ServerLists {
    lists: [Option<Vec<ListedServer>>; MAX_LISTS],
    receiving: Option<PartialList>,
}

impl ServerLists {
    /// Begins a list; its entries are the lines that follow.
    ///
    /// # Errors
    ///
    /// The line is malformed, or the list's number is out of range.
    pub fn begin(&mut self, line: &Line<'_>) -> Result<(), ProtocolError> {
        let number = line.required_integer("roster_id")? as usize;
        let expected = line.required_integer("hosts")? as usize;
        if number >= MAX_LISTS {
            return Err(ProtocolError::ListOutOfRange(number));
        }
        if expected == 0 {
            self.lists[number] = Some(Vec::new());
        } else {
            self.receiving = Some(PartialList {
                number,
                expected,
                servers: Vec::new(),
            });
        }
        Ok(())
    }

    /// Whether the next line is an entry of a list.
    #[must_use]
    pub fn is_receiving(&self) -> bool {
        self.receiving.is_some()
    }

    /// Takes a line as the next entry, if one is outstanding. Whether it was.
    ///
    /// # Errors
    ///
    /// An entry is outstanding and the line is none.
    pub fn receive(&mut self, line: &str) -> Result<bool, ProtocolError> {
        let Some(mut list) = self.receiving.take() else {
            return Ok(false);
        };
        list.servers.push(ListedServer::parse(line)?);
        if list.servers.len() < list.expected {
            self.receiving = Some(list);
        } else {
            self.lists[list.number] = Some(list.servers);
        }
        Ok(true)
    }

    /// The servers of a list.
    ///
    /// # Errors
    ///
    /// No list of this number was received.
    pub fn get(&self, number: usize) -> Result<&[ListedServer], ProtocolError> {
        let list = self.lists.get(number).and_then(Option::as_deref);
        list.ok_or(ProtocolError::UnknownList(number))
    }
}
