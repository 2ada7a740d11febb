//! The numbered server lists of the protocol, which all instances in a process share.

use balancer::{Availability, ServerEntry, ServerId};

use super::{Line, ProtocolError};

/// Maximum number of lists held at a time. A list replaces the previous list with the same number.
pub const MAX_LISTS: usize = 16;

/// One server of a list, identified by its name. Each instance assigns its own [`ServerId`]s to the names.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// The server's name.
    pub name: String,
    /// The server's attributes. The ID is a placeholder that each instance replaces with its own.
    pub(super) entry: ServerEntry,
}

impl ListedServer {
    /// Parses an entry line (`M`) of a list.
    ///
    /// # Errors
    ///
    /// The line is malformed or has another message type.
    pub fn parse(line: &str) -> Result<Self, ProtocolError> {
        let line = Line::parse(line)?;
        if line.message_type != "M" {
            return Err(ProtocolError::EntryExpected {
                message_type: line.message_type.to_owned(),
            });
        }
        let availability = match line.required_text("availability")? {
            "2" => Availability::Ready,
            "0" => Availability::Draining,
            "3" => Availability::Gone,
            other => return Err(Line::unknown_value("availability", other)),
        };
        let started_at_ms = line.number("launched_ms")?.filter(|at_ms| *at_ms > 0.0);
        let (cell, zone) = (
            index_or_zero(&line, "block")?,
            index_or_zero(&line, "site")?,
        );
        let machine_kind = index_or_zero(&line, "type")?;
        let name = line.required_text("server")?;
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

/// A list whose entries are still being received.
#[derive(Debug)]
struct PartialList {
    number: usize,
    expected_servers: usize,
    servers: Vec<ListedServer>,
}

/// The lists received so far.
#[derive(Debug, Default)]
pub struct ServerLists {
    lists: [Option<Vec<ListedServer>>; MAX_LISTS],
    receiving: Option<PartialList>,
}

impl ServerLists {
    /// Begins a list from a `CENSUS` line. The lines that follow are its entries.
    ///
    /// # Errors
    ///
    /// The line is malformed, or the list's number is out of range.
    pub fn begin(&mut self, line: &Line<'_>) -> Result<(), ProtocolError> {
        let number = line.required_integer("roster_id")? as usize;
        let expected_servers = line.required_integer("hosts")? as usize;
        if number >= MAX_LISTS {
            return Err(ProtocolError::ListOutOfRange(number));
        }
        if expected_servers == 0 {
            self.lists[number] = Some(Vec::new());
        } else {
            self.receiving = Some(PartialList {
                number,
                expected_servers,
                servers: Vec::new(),
            });
        }
        Ok(())
    }

    /// Whether the next line must be an entry of a list.
    #[must_use]
    pub fn is_receiving(&self) -> bool {
        self.receiving.is_some()
    }

    /// Parses a line as the next entry of the list being received. Returns `false` if no list is being received.
    ///
    /// # Errors
    ///
    /// A list is being received and the line is not a valid entry.
    pub fn receive_entry(&mut self, line: &str) -> Result<bool, ProtocolError> {
        let Some(mut list) = self.receiving.take() else {
            return Ok(false);
        };
        list.servers.push(ListedServer::parse(line)?);
        if list.servers.len() < list.expected_servers {
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
    /// No list with this number was received.
    pub fn get(&self, number: usize) -> Result<&[ListedServer], ProtocolError> {
        let list = self.lists.get(number).and_then(Option::as_deref);
        list.ok_or(ProtocolError::UnknownList(number))
    }
}
