//! Runs balancers by the simulator's line protocol on standard input and output, one balancer for
//! each simulated node.
//!
//! It replies to each batch when the batch is complete. Malformed input ends it with one line on
//! standard error that says where and what.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write as _};
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use silverthread::simulator::{Instance, Line, ProtocolError, ServerLists};
use silverthread::text::one_line;
use silverthread::Action;

const PROGRAM: &str = "silverthread-simulator-adapter";

/// Whether a line ended its batch.
enum Progress {
    More,
    EndOfBatch,
}

/// The instances, and the batch being read.
#[derive(Default)]
struct Adapter {
    now_ms: f64,
    instances: BTreeMap<String, Instance>,
    lists: ServerLists,
    /// What was ignored and has been reported once.
    reported: BTreeSet<String>,
    reply: String,
    actions: Vec<Action>,
}

impl Adapter {
    fn handle_line(&mut self, text: &str) -> Result<Progress, ProtocolError> {
        if self.lists.receive(text)? {
            return Ok(Progress::More);
        }
        if text.is_empty() {
            return Ok(Progress::More); // It separates batches.
        }
        let line = Line::parse(text)?;
        match line.message {
            "CLOCK" => self.now_ms = line.required_number("wall_ms")?,
            "EOB" => {
                self.reply.push_str("NEXT\n");
                return Ok(Progress::EndOfBatch);
            }
            "CENSUS" => self.lists.begin(&line)?,
            "BOOT" => {
                let instance = Instance::start(&line)?;
                let node = line.text("node")?.to_owned();
                self.instances.insert(node, instance);
            }
            "TEARDOWN" => drop(self.instances.remove(line.text("node")?)),
            "REGISTRY" | "CALL" | "ACK_FIRST" | "ENDED" | "HANGUP" | "FIRED" | "HEALTH" => {
                self.handle_event(&line)?;
            }
            "FROM_PEER" => {} // A balancer takes no messages from its peers.
            other => self.report_ignored(other, "ignored an unknown message"),
        }
        Ok(Progress::More)
    }

    fn handle_event(&mut self, line: &Line<'_>) -> Result<(), ProtocolError> {
        let node = line.text("node")?;
        let Some(instance) = self.instances.get_mut(node) else {
            self.report_ignored(node, "ignored a message to an instance that is not running");
            return Ok(());
        };
        let Some(event) = instance.parse_event(line, &self.lists)? else {
            return Ok(());
        };
        let (now_ms, actions) = (self.now_ms, &mut self.actions);
        // A fault in one instance must not end the others.
        let handled = panic::catch_unwind(AssertUnwindSafe(|| {
            instance.handle(now_ms, event, actions);
        }));
        if handled.is_ok() {
            for action in self.actions.drain(..) {
                instance.print(node, &action, &mut self.reply);
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

    /// Reports what is ignored, once for each kind.
    fn report_ignored(&mut self, what: &str, why: &str) {
        if self.reported.insert(what.to_owned()) {
            eprintln!("{PROGRAM}: {why}: {}", one_line(what));
        }
    }
}

/// Why the adapter ends before its input does, and at which line.
struct AdapterError {
    line: u64,
    cause: Cause,
}

enum Cause {
    Read(io::Error),
    Reply(io::Error),
    /// A message is malformed.
    Protocol {
        message: String,
        error: ProtocolError,
    },
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        match &self.cause {
            Cause::Read(error) => error.fmt(f),
            Cause::Reply(error) => write!(f, "cannot reply: {error}"),
            Cause::Protocol { message, error } => write!(f, "{message}: {error}"),
        }
    }
}

/// Reads and replies until the input ends.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut text = String::new();
    for line_number in 1.. {
        let fail = |cause| AdapterError {
            line: line_number,
            cause,
        };
        text.clear();
        let bytes = input.read_line(&mut text);
        let bytes = bytes.map_err(|error| fail(Cause::Read(error)))?;
        if bytes == 0 {
            break;
        }
        let line = text.trim_end_matches(['\n', '\r']);
        let progress = adapter.handle_line(line).map_err(|error| {
            let message = line.split(' ').next().unwrap_or_default().to_owned();
            fail(Cause::Protocol { message, error })
        })?;
        if matches!(progress, Progress::EndOfBatch) {
            let written = output
                .write_all(adapter.reply.as_bytes())
                .and_then(|()| output.flush());
            written.map_err(|error| fail(Cause::Reply(error)))?;
            adapter.reply.clear();
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            ExitCode::FAILURE
        }
    }
}
