//! The text wire that the decisions can be driven by: parsing and printing, nothing else.

use std::collections::HashMap;
use std::fmt::{self, Write as _};

use serde_json::Value;

use balancer::{
    Action, AttemptResult, Availability, Class, DiscoveryMode, Event, Idempotency, KeyScope,
    LoadReport, LogEvent, Outcome, ReportSource, Request, RequestId, RetryBudget, ServerEntry,
    ServerId, ServerListUpdate, Settings,
};

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError(String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

impl WireError {
    /// An error found beyond the wire, in its own words.
    #[must_use]
    pub fn other(why: &dyn fmt::Display) -> Self {
        Self(why.to_string())
    }
}

fn wrong<T>(text: impl Into<String>) -> Result<T, WireError> {
    Err(WireError(text.into()))
}

/// A line split into its message and its name=value pairs.
#[derive(Debug)]
pub struct Line<'a> {
    /// The message.
    pub message: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line; a field of text takes the rest of it.
    ///
    /// # Errors
    ///
    /// A part that is no pair.
    pub fn parse(line: &'a str) -> Result<Self, WireError> {
        let (message, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        if message.is_empty() {
            return wrong("no message");
        }
        let mut pairs = Vec::with_capacity(8);
        while !rest.is_empty() {
            let Some((name, tail)) = rest.split_once('=') else {
                return wrong(format!("`{rest}` is no name=value pair"));
            };
            if name.is_empty() || name.contains(' ') {
                return wrong(format!("`{name}` is no name"));
            }
            let (value, tail) = match name {
                "facts" | "note_text" => (tail, ""),
                _ => tail.split_once(' ').unwrap_or((tail, "")),
            };
            pairs.push((name, value));
            rest = tail;
        }
        Ok(Self { message, pairs })
    }

    /// The value of a pair, if it is there.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    /// The value of a pair that must be there.
    ///
    /// # Errors
    ///
    /// It is not there.
    pub fn text(&self, name: &str) -> Result<&'a str, WireError> {
        self.get(name)
            .map_or_else(|| wrong(format!("`{name}` is missing")), Ok)
    }

    /// A time or other figure, if it is there.
    ///
    /// # Errors
    ///
    /// It is no finite number.
    pub fn figure(&self, name: &str) -> Result<Option<f64>, WireError> {
        self.get(name).map(|v| figure(name, v)).transpose()
    }

    /// A whole number, if it is there.
    ///
    /// # Errors
    ///
    /// It is no whole number.
    pub fn whole(&self, name: &str) -> Result<Option<u64>, WireError> {
        let parse = |v: &str| {
            v.parse()
                .or_else(|_| wrong(format!("`{name}={v}` is no whole number")))
        };
        self.get(name).map(parse).transpose()
    }

    fn need_whole(&self, name: &str) -> Result<u64, WireError> {
        self.whole(name)?
            .map_or_else(|| wrong(format!("`{name}` is missing")), Ok)
    }

    fn index(&self, name: &str) -> Result<usize, WireError> {
        let n = self.need_whole(name)?;
        usize::try_from(n).or_else(|_| wrong(format!("`{name}={n}` is too large")))
    }

    /// A figure that must be there.
    ///
    /// # Errors
    ///
    /// It is missing or no finite number.
    pub fn need_figure(&self, name: &str) -> Result<f64, WireError> {
        self.figure(name)?
            .map_or_else(|| wrong(format!("`{name}` is missing")), Ok)
    }
}

fn figure(name: &str, text: &str) -> Result<f64, WireError> {
    match text.parse::<f64>() {
        Ok(x) if x.is_finite() => Ok(x),
        _ => wrong(format!("`{name}={text}` is no number")),
    }
}

/// A numbered list's entry, its server still by name.
#[derive(Clone, Debug)]
pub struct Member {
    /// The server's name.
    pub server: String,
    entry: ServerEntry,
}

impl Member {
    /// Reads one entry of a list.
    ///
    /// # Errors
    ///
    /// The line is malformed.
    pub fn parse(line: &str) -> Result<Self, WireError> {
        let line = Line::parse(line)?;
        if line.message != "M" {
            return wrong(format!(
                "`{}` where an entry of the list was due",
                line.message
            ));
        }
        let availability = match line.text("availability")? {
            "2" => Availability::Ready,
            "0" => Availability::Draining,
            "3" => Availability::Gone,
            other => return wrong(format!("`availability={other}` is unknown")),
        };
        let or_zero = |name| Ok::<_, WireError>(line.whole(name)?.unwrap_or(0) as usize);
        let entry = ServerEntry {
            server: ServerId(0),
            availability,
            started_at_ms: line.figure("launched_ms")?.filter(|t| *t > 0.0),
            cell: or_zero("block")?,
            zone: or_zero("site")?,
            machine_kind: or_zero("type")?,
            ring_position: spread(line.text("server")?),
        };
        Ok(Self {
            server: line.text("server")?.to_owned(),
            entry,
        })
    }
}

/// A number that every node derives alike from a name: FNV-1a, its bits mixed once more.
#[must_use]
pub fn spread(name: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// What one instance's messages need beside themselves: its server names and report fields.
#[derive(Debug, Default)]
pub struct Dialect {
    names: Vec<String>,
    ids: HashMap<String, usize>,
    in_flight_at: Option<usize>,
    queued_at: Option<usize>,
}

impl Dialect {
    fn intern(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.ids.get(name) {
            return ServerId(*id);
        }
        let id = self.names.len();
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        ServerId(id)
    }

    fn report(&self, line: &Line<'_>) -> Result<Option<LoadReport>, WireError> {
        let Some(row) = line
            .get("server_stats")
            .filter(|r| !r.is_empty() && *r != "-")
        else {
            return Ok(None);
        };
        let values: Vec<f64> = row
            .split(',')
            .map(|v| figure("server_stats", v))
            .collect::<Result<_, _>>()?;
        let at = |i: Option<usize>| i.and_then(|i| values.get(i).copied());
        Ok(Some(LoadReport {
            in_flight: at(self.in_flight_at),
            queued: at(self.queued_at),
        }))
    }

    /// Reads the settings of a start.
    ///
    /// # Errors
    ///
    /// They are no object of the expected types.
    pub fn settings(&mut self, facts: &str) -> Result<Settings, WireError> {
        let facts: Value =
            serde_json::from_str(facts).map_err(|e| WireError(format!("`facts`: {e}")))?;
        let fields = facts["stats"]["fields"]
            .as_array()
            .map_or(&[][..], Vec::as_slice);
        self.in_flight_at = fields.iter().position(|f| f == "active");
        self.queued_at = fields.iter().position(|f| f == "waiting");
        read_settings(&facts)
    }

    /// Reads an event for an instance; `lists` holds the numbered lists.
    ///
    /// # Errors
    ///
    /// The line is malformed. `Ok(None)` is a message that is not known or not needed.
    pub fn event(
        &mut self,
        line: &Line<'_>,
        lists: &[Option<Vec<Member>>; 16],
    ) -> Result<Option<Event>, WireError> {
        Ok(Some(match line.message {
            "REGISTRY" => Event::ServerList(self.listing(line, lists)?),
            "CALL" => Event::Request(Request {
                id: RequestId(line.need_whole("txn")?),
                class: line.index("grade")?,
                tenant: line.whole("party")?.unwrap_or(0) as usize,
                key: line.get("item").map(Into::into),
                timeout_ms: line.need_figure("budget_ms")?,
            }),
            "ACK_FIRST" => Event::StreamStarted {
                request: RequestId(line.need_whole("txn")?),
                attempt: line.index("try")?,
            },
            "ENDED" => Event::Outcome(Outcome {
                request: RequestId(line.need_whole("txn")?),
                attempt: line.index("try")?,
                elapsed_ms: line.need_figure("rtt_ms")?,
                result: ending(line)?,
                complete: match line.text("complete")? {
                    "1" => true,
                    "0" => false,
                    other => return wrong(format!("`complete={other}` is neither 1 nor 0")),
                },
                report: self.report(line)?,
            }),
            "HANGUP" => Event::ClientGone(RequestId(line.need_whole("txn")?)),
            // A token that is none of ours is no timer of ours: pass it over.
            "FIRED" => match line.text("nonce")?.parse() {
                Ok(timer) => Event::Timer(timer),
                Err(_) => return Ok(None),
            },
            "HEALTH" => Event::HealthChecked {
                server: self.intern(line.text("server")?),
                elapsed_ms: line.figure("rtt_ms")?.unwrap_or(0.0),
                result: ending(line)?,
                report: self.report(line)?,
            },
            _ => return Ok(None),
        }))
    }

    fn listing(
        &mut self,
        line: &Line<'_>,
        lists: &[Option<Vec<Member>>; 16],
    ) -> Result<ServerListUpdate, WireError> {
        let mode = line.text("mode")?;
        if mode == "3" {
            return Ok(ServerListUpdate::Failed);
        }
        let number = line.index("roster_id")?;
        let Some(list) = lists.get(number).and_then(Option::as_ref) else {
            return wrong(format!("`roster_id={number}` is no list"));
        };
        let entries = list
            .iter()
            .map(|m| ServerEntry {
                server: self.intern(&m.server),
                ..m.entry.clone()
            })
            .collect();
        match mode {
            "0" => Ok(ServerListUpdate::Changes(entries)),
            "1" => Ok(ServerListUpdate::Full(entries)),
            "2" => Ok(ServerListUpdate::Cached(entries)),
            other => wrong(format!("`mode={other}` is unknown")),
        }
    }

    /// Prints an action of an instance.
    pub fn print(&self, node: &str, action: &Action, out: &mut String) {
        let done = match action {
            Action::Send { request, server } => {
                write!(
                    out,
                    "PLACE node={node} txn={} server={}",
                    request.0, self.names[server.0]
                )
            }
            Action::HealthCheck { server } => {
                write!(out, "SOUND_OUT node={node} server={}", self.names[server.0])
            }
            Action::CloseIdle { server } => {
                write!(out, "CLOSE node={node} server={}", self.names[server.0])
            }
            Action::Cancel { request, attempt } => {
                write!(
                    out,
                    "STOP_ATTEMPT node={node} txn={} try={attempt}",
                    request.0
                )
            }
            Action::Reject {
                request,
                retry_after_ms: None,
            } => {
                write!(out, "PUSH_BACK node={node} txn={}", request.0)
            }
            Action::Reject {
                request,
                retry_after_ms: Some(ms),
            } => {
                write!(
                    out,
                    "PUSH_BACK node={node} txn={} stay_away_ms={ms:.3}",
                    request.0
                )
            }
            Action::Fail { request } => write!(out, "REPORT_FAILURE node={node} txn={}", request.0),
            Action::Subscribe => write!(out, "TRACK node={node} want=1"),
            Action::SetTimer { timer, after_ms } => {
                write!(
                    out,
                    "SCHEDULE node={node} nonce={timer} offset_ms={after_ms:.3}"
                )
            }
            Action::Log(event) => {
                write!(out, "NOTE_DOWN node={node} note_text={}", note_text(*event))
            }
        };
        debug_assert!(done.is_ok(), "writing to a string cannot fail");
        out.push('\n');
    }
}

/// The text of a note, which the simulator's records hold: it stays as it is where the node's log is reworded.
fn note_text(event: LogEvent) -> String {
    match event {
        LogEvent::ServerListUnavailable => "the list of servers does not come".to_owned(),
        LogEvent::ServerListAvailable => "the list of servers comes again".to_owned(),
        LogEvent::ServerEjected(server) => format!("server {} is taken out", server.0),
        LogEvent::ServerRecovered(server) => format!("server {} is back", server.0),
    }
}

/// Text without line breaks.
#[must_use]
pub fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

fn ending(line: &Line<'_>) -> Result<AttemptResult, WireError> {
    Ok(match line.text("ending")? {
        "S" => AttemptResult::Served,
        "E" => AttemptResult::Error,
        "F" => AttemptResult::Overloaded,
        "T" => AttemptResult::TimedOut,
        "C" => AttemptResult::Unreachable,
        "R" => AttemptResult::Reset,
        "X" => AttemptResult::Cancelled,
        "N" => AttemptResult::NotSent,
        other => return wrong(format!("`ending={other}` is unknown")),
    })
}

/// The settings of a start, as the simulator and a node's configuration hold them; a key that is missing keeps
/// its default.
///
/// # Errors
///
/// They are no object, or hold a key of a wrong type.
pub fn read_settings(facts: &Value) -> Result<Settings, WireError> {
    if !facts.is_object() {
        return wrong("`facts` is no object");
    }
    let class_list = facts["classes"].as_array().map_or(&[][..], Vec::as_slice);
    let classes = class_list
        .iter()
        .map(read_class)
        .collect::<Result<Vec<_>, _>>()?;
    let mut settings = Settings::new(classes);
    let parties = facts["parties"].as_array().map_or(&[][..], Vec::as_slice);
    for party in parties {
        let mut quota = f64::MAX;
        read(party, "quota_per_s", &mut quota)?;
        settings.tenant_quotas_per_s.push(quota);
    }
    read_index(facts, "n_instances", &mut settings.nodes)?;
    read_index(facts, "me", &mut settings.node_index)?;
    read_index(facts, "az", &mut settings.zone)?;
    settings.machine_kinds = facts["kinds"].as_array().map_or(1, |k| k.len().max(1));
    if facts["discovery"] == "subscribe" {
        settings.discovery = DiscoveryMode::Subscribe;
    }
    settings.report_source = match facts["stats"]["source"].as_str() {
        Some("on_probe") => ReportSource::HealthCheck,
        Some("off") => ReportSource::Off,
        _ => ReportSource::Inline,
    };
    let rules = &facts["rules"];
    read(rules, "ask_within_ms", &mut settings.max_poll_interval_ms)?;
    read(rules, "cold_from", &mut settings.slow_start_fraction)?;
    read(rules, "cold_ms", &mut settings.slow_start_ms)?;
    read(rules, "tip_multiple", &mut settings.collapse_multiple)?;
    read(rules, "tip_after_ms", &mut settings.collapse_after_ms)?;
    read(rules, "key_quiet_ms", &mut settings.key_quiet_ms)?;
    let mut budget = RetryBudget {
        min_retries: 0.0,
        retries_per_request: 0.0,
        window_ms: f64::NAN,
    };
    read(rules, "free_resends", &mut budget.min_retries)?;
    read(rules, "extra_per_request", &mut budget.retries_per_request)?;
    read(rules, "budget_span_ms", &mut budget.window_ms)?;
    settings.retry_budget = (!budget.window_ms.is_nan()).then_some(budget);
    let allowed = &facts["allowed"];
    read_index(allowed, "max_attempts", &mut settings.max_attempts)?;
    read_flag(allowed, "cancel", &mut settings.cancel)?;
    read_flag(allowed, "probes", &mut settings.health_checks)?;
    read(&facts["prices"], "probe", &mut settings.health_check_price)?;
    Ok(settings)
}

fn read_class(class: &Value) -> Result<Class, WireError> {
    // A class must say how long its clients wait; nothing can be guessed in its place.
    let (mut aim, mut deadline, mut window) = (f64::NAN, f64::NAN, 0.0);
    read(class, "deadline_ms", &mut deadline)?;
    if deadline.is_nan() {
        return wrong("`facts`: a class has no `deadline_ms`");
    }
    read(class, "promise_ms", &mut aim)?;
    read(class, "dedup_window_ms", &mut window)?;
    let effect = match class["effect"].as_str() {
        Some("retryable") => Idempotency::Idempotent,
        Some("dedup") => {
            let group = match class["group"].as_str() {
                Some("all") => KeyScope::All,
                Some("zone") => KeyScope::Zone,
                _ => KeyScope::Cell,
            };
            Idempotency::IdempotencyKey {
                scope: group,
                window_ms: window,
            }
        }
        // An effect that is not known is treated as the one that allows least.
        _ => Idempotency::NonIdempotent,
    };
    let mut read_class = Class::new(if aim.is_nan() { deadline } else { aim }, deadline, effect);
    read(class, "worth", &mut read_class.priority_weight)?;
    read_flag(class, "by_arrival", &mut read_class.ordered_by_key)?;
    Ok(read_class)
}

fn read(from: &Value, key: &str, to: &mut f64) -> Result<(), WireError> {
    match &from[key] {
        Value::Null => Ok(()),
        value => value
            .as_f64()
            .map(|x| *to = x)
            .map_or_else(|| mistyped(key, "number"), Ok),
    }
}

fn read_index(from: &Value, key: &str, to: &mut usize) -> Result<(), WireError> {
    match &from[key] {
        Value::Null => Ok(()),
        value => value
            .as_u64()
            .map(|x| *to = x as usize)
            .map_or_else(|| mistyped(key, "whole number"), Ok),
    }
}

fn read_flag(from: &Value, key: &str, to: &mut bool) -> Result<(), WireError> {
    match &from[key] {
        Value::Null => Ok(()),
        value => value
            .as_bool()
            .map(|x| *to = x)
            .map_or_else(|| mistyped(key, "yes or no"), Ok),
    }
}

fn mistyped(key: &str, what: &str) -> Result<(), WireError> {
    wrong(format!("`facts`: `{key}` is no {what}"))
}
