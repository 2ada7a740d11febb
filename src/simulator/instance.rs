//! One simulated node: its balancer, and what is needed to translate its messages, namely the IDs of the
//! server names and the column layout of the load reports.

use std::collections::HashMap;

use balancer::{
    Action, AttemptResult, Balancer, Event, LoadReport, Outcome, Request, RequestId, ServerEntry,
    ServerId, ServerListUpdate,
};
use serde_json::Value;

use super::line::parse_number;
use super::{append_action_line, Line, ProtocolError, ServerLists};
use crate::settings::{parse_settings, SettingsFormatError};

/// Name of the load report's column with the number of requests in flight.
const IN_FLIGHT_COLUMN: &str = "active";
/// Name of the load report's column with the number of queued requests.
const QUEUED_COLUMN: &str = "waiting";

/// Indexes of the columns of a load report that the balancer uses; `None` for a column that the reports lack.
#[derive(Debug, Default)]
struct ReportColumns {
    in_flight: Option<usize>,
    queued: Option<usize>,
}

impl ReportColumns {
    fn from_settings(settings: &Value) -> Self {
        let fields = settings["stats"]["fields"].as_array();
        let fields = fields.map_or(&[][..], Vec::as_slice);
        let column = |name: &str| fields.iter().position(|field| field == name);
        Self {
            in_flight: column(IN_FLIGHT_COLUMN),
            queued: column(QUEUED_COLUMN),
        }
    }

    /// Parses the load report of a line; `None` if it has none.
    fn parse(&self, line: &Line<'_>) -> Result<Option<LoadReport>, ProtocolError> {
        const REPORT_FIELD: &str = "server_stats";
        let row = line
            .get(REPORT_FIELD)
            .filter(|row| !row.is_empty() && *row != "-");
        let Some(row) = row else {
            return Ok(None);
        };
        let values: Vec<f64> = row
            .split(',')
            .map(|value| parse_number(REPORT_FIELD, value))
            .collect::<Result<_, _>>()?;
        let value = |column: Option<usize>| column.and_then(|column| values.get(column).copied());
        Ok(Some(LoadReport {
            in_flight: value(self.in_flight),
            queued: value(self.queued),
        }))
    }
}

/// The server names that an instance has received, and their IDs in the order of first receipt.
#[derive(Debug, Default)]
pub(super) struct ServerNames {
    names: Vec<String>,
    ids: HashMap<String, ServerId>,
}

impl ServerNames {
    /// The ID of a name, which is assigned if the name is new.
    fn intern(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = ServerId(self.names.len());
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }

    pub(super) fn name(&self, server: ServerId) -> &str {
        &self.names[server.0]
    }
}

/// A simulated node: its balancer, and what is needed to translate its messages.
pub struct Instance {
    balancer: Balancer,
    servers: ServerNames,
    report_columns: ReportColumns,
}

impl Instance {
    /// Starts an instance from a `BOOT` line.
    ///
    /// # Errors
    ///
    /// The line is malformed, or its settings are invalid.
    pub fn start(line: &Line<'_>) -> Result<Self, ProtocolError> {
        let settings: Value = serde_json::from_str(line.required_text("facts")?)
            .map_err(SettingsFormatError::Json)?;
        let report_columns = ReportColumns::from_settings(&settings);
        let settings = parse_settings(&settings)?;
        let seed = line.integer("seed")?.unwrap_or(0);
        let balancer = Balancer::new(settings, seed).map_err(SettingsFormatError::OutOfRange)?;
        Ok(Self {
            balancer,
            servers: ServerNames::default(),
            report_columns,
        })
    }

    /// Passes an event to the balancer, which appends its actions to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        self.balancer.handle(now_ms, event, actions);
    }

    /// Appends the protocol line for an action to `out`.
    pub fn append_action_line(&self, node: &str, action: &Action, out: &mut String) {
        append_action_line(node, &self.servers, action, out);
    }

    /// Parses a line into an event; `Ok(None)` if its message type is not that of an event, or its nonce is not an
    /// unsigned integer.
    ///
    /// # Errors
    ///
    /// The line is malformed, or refers to a server list that was not received.
    pub fn parse_event(
        &mut self,
        line: &Line<'_>,
        lists: &ServerLists,
    ) -> Result<Option<Event>, ProtocolError> {
        Ok(Some(match line.message_type {
            "REGISTRY" => Event::ServerList(self.parse_server_list_update(line, lists)?),
            "CALL" => Event::Request(parse_request(line)?),
            "ACK_FIRST" => Event::StreamStarted {
                request: parse_request_id(line)?,
                attempt: line.required_index("try")?,
            },
            "ENDED" => Event::Outcome(self.parse_outcome(line)?),
            "HANGUP" => Event::ClientGone(parse_request_id(line)?),
            "FIRED" => match line.required_text("nonce")?.parse() {
                Ok(timer) => Event::Timer(timer),
                // The balancer's timers are numbers: any other nonce was not set by this instance.
                Err(_) => return Ok(None),
            },
            "HEALTH" => Event::HealthChecked {
                server: self.servers.intern(line.required_text("server")?),
                elapsed_ms: line.number("rtt_ms")?.unwrap_or(0.0),
                result: parse_attempt_result(line)?,
                report: self.report_columns.parse(line)?,
            },
            _ => return Ok(None),
        }))
    }

    fn parse_server_list_update(
        &mut self,
        line: &Line<'_>,
        lists: &ServerLists,
    ) -> Result<ServerListUpdate, ProtocolError> {
        let mode = line.required_text("mode")?;
        if mode == "3" {
            return Ok(ServerListUpdate::Failed);
        }
        let list = lists.get(line.required_index("roster_id")?)?;
        let entries = list.iter().map(|listed| ServerEntry {
            server: self.servers.intern(&listed.name),
            ..listed.entry.clone()
        });
        let entries = entries.collect();
        match mode {
            "0" => Ok(ServerListUpdate::Changes(entries)),
            "1" => Ok(ServerListUpdate::Full(entries)),
            "2" => Ok(ServerListUpdate::Cached(entries)),
            other => Err(Line::unknown_value("mode", other)),
        }
    }

    fn parse_outcome(&self, line: &Line<'_>) -> Result<Outcome, ProtocolError> {
        Ok(Outcome {
            request: parse_request_id(line)?,
            attempt: line.required_index("try")?,
            elapsed_ms: line.required_number("rtt_ms")?,
            result: parse_attempt_result(line)?,
            complete: parse_flag(line, "complete")?,
            report: self.report_columns.parse(line)?,
        })
    }
}

fn parse_request_id(line: &Line<'_>) -> Result<RequestId, ProtocolError> {
    Ok(RequestId(line.required_integer("txn")?))
}

fn parse_request(line: &Line<'_>) -> Result<Request, ProtocolError> {
    Ok(Request {
        id: parse_request_id(line)?,
        class: line.required_index("grade")?,
        tenant: line.integer("party")?.unwrap_or(0) as usize,
        key: line.get("item").map(Into::into),
        timeout_ms: line.required_number("budget_ms")?,
    })
}

fn parse_flag(line: &Line<'_>, name: &str) -> Result<bool, ProtocolError> {
    match line.required_text(name)? {
        "1" => Ok(true),
        "0" => Ok(false),
        other => Err(ProtocolError::NotAFlag {
            name: name.to_owned(),
            value: other.to_owned(),
        }),
    }
}

fn parse_attempt_result(line: &Line<'_>) -> Result<AttemptResult, ProtocolError> {
    Ok(match line.required_text("ending")? {
        "S" => AttemptResult::Served,
        "E" => AttemptResult::Error,
        "F" => AttemptResult::Overloaded,
        "T" => AttemptResult::TimedOut,
        "C" => AttemptResult::Unreachable,
        "R" => AttemptResult::Reset,
        "X" => AttemptResult::Cancelled,
        "N" => AttemptResult::NotSent,
        other => return Err(Line::unknown_value("ending", other)),
    })
}
