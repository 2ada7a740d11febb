//! Serves the simulator's line protocol on standard input and output, with one balancer for each
//! simulated node.
//!
//! The adapter replies to each batch once the batch is complete. On malformed input it exits with one
//! line on standard error that gives the line number and the error.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write as _};
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use silverthread::simulator::{Instance, Line, ProtocolError, ServerLists};
use silverthread::text::one_line;
use silverthread::Action;

const PROGRAM_NAME: &str = "silverthread-simulator-adapter";

/// Whether the batch is complete after a line.
enum BatchStatus {
    Incomplete,
    Complete,
}

/// The running instances by node, and the reply to the batch being read.
#[derive(Default)]
struct Adapter {
    now_ms: f64,
    instances: BTreeMap<String, Instance>,
    server_lists: ServerLists,
    /// Message types and nodes whose messages were reported as ignored.
    reported_as_ignored: BTreeSet<String>,
    reply: String,
    actions: Vec<Action>,
}

impl Adapter {
    fn handle_line(&mut self, text: &str) -> Result<BatchStatus, ProtocolError> {
        if self.server_lists.receive_entry(text)? {
            return Ok(BatchStatus::Incomplete);
        }
        if text.is_empty() {
            return Ok(BatchStatus::Incomplete); // An empty line separates batches.
        }
        let line = Line::parse(text)?;
        match line.message_type {
            "CLOCK" => self.now_ms = line.required_number("wall_ms")?,
            "EOB" => {
                self.reply.push_str("NEXT\n");
                return Ok(BatchStatus::Complete);
            }
            "CENSUS" => self.server_lists.begin(&line)?,
            "BOOT" => {
                let instance = Instance::start(&line)?;
                let node = line.required_text("node")?.to_owned();
                self.instances.insert(node, instance);
            }
            "TEARDOWN" => drop(self.instances.remove(line.required_text("node")?)),
            "REGISTRY" | "CALL" | "ACK_FIRST" | "ENDED" | "HANGUP" | "FIRED" | "HEALTH" => {
                self.handle_event(&line)?;
            }
            "FROM_PEER" => {} // Balancers do not use messages from their peers.
            other => self.report_ignored(other, "unknown message type ignored"),
        }
        Ok(BatchStatus::Incomplete)
    }

    fn handle_event(&mut self, line: &Line<'_>) -> Result<(), ProtocolError> {
        let node = line.required_text("node")?;
        let Some(instance) = self.instances.get_mut(node) else {
            self.report_ignored(node, "message to a node without a running instance ignored");
            return Ok(());
        };
        let Some(event) = instance.parse_event(line, &self.server_lists)? else {
            return Ok(());
        };
        let (now_ms, actions) = (self.now_ms, &mut self.actions);
        // A panic in one instance must not end the others.
        let handled = panic::catch_unwind(AssertUnwindSafe(|| {
            instance.handle(now_ms, event, actions);
        }));
        if handled.is_ok() {
            for action in self.actions.drain(..) {
                instance.append_action_line(node, &action, &mut self.reply);
            }
        } else {
            self.actions.clear();
            self.instances.remove(node);
            writeln!(
                self.reply,
                "INTERNAL_ERROR node={node} note_text=the balancer panicked"
            )
            .expect("writing to a string cannot fail");
        }
        Ok(())
    }

    /// Reports a message type or a node whose messages are ignored, once for each.
    fn report_ignored(&mut self, name: &str, reason: &str) {
        if self.reported_as_ignored.insert(name.to_owned()) {
            eprintln!("{PROGRAM_NAME}: {reason}: {}", one_line(name));
        }
    }
}

/// Error that ends the adapter before the end of its input.
struct AdapterError {
    /// Number of the line, from one, at which the error occurred.
    line_number: u64,
    cause: Cause,
}

enum Cause {
    Read(io::Error),
    WriteReply(io::Error),
    /// A line is malformed.
    Protocol {
        message_type: String,
        error: ProtocolError,
    },
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line_number)?;
        match &self.cause {
            Cause::Read(error) => error.fmt(f),
            Cause::WriteReply(error) => write!(f, "cannot write the reply: {error}"),
            Cause::Protocol {
                message_type,
                error,
            } => write!(f, "{message_type}: {error}"),
        }
    }
}

/// Handles lines and replies to batches until the input ends.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut text = String::new();
    for line_number in 1.. {
        let error_at_line = |cause| AdapterError { line_number, cause };
        text.clear();
        let bytes_read = input.read_line(&mut text);
        let bytes_read = bytes_read.map_err(|error| error_at_line(Cause::Read(error)))?;
        if bytes_read == 0 {
            break;
        }
        let line = text.trim_end_matches(['\n', '\r']);
        let status = adapter.handle_line(line).map_err(|error| {
            let message_type = line.split(' ').next().unwrap_or_default().to_owned();
            error_at_line(Cause::Protocol {
                message_type,
                error,
            })
        })?;
        if matches!(status, BatchStatus::Complete) {
            let written = output
                .write_all(adapter.reply.as_bytes())
                .and_then(|()| output.flush());
            written.map_err(|error| error_at_line(Cause::WriteReply(error)))?;
            adapter.reply.clear();
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM_NAME}: {error}");
            ExitCode::FAILURE
        }
    }
}
