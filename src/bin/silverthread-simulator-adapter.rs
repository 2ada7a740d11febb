//! Drives balancers over the text wire on standard input and output, one for each instance.

#![allow(
    clippy::format_push_string,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use silverthread::simulator::{one_line, Dialect, Line, Member, WireError};
use silverthread::{Action, Balancer};

/// One instance: its balancer and the names only it has been told.
struct Instance {
    balancer: Balancer,
    dialect: Dialect,
}

#[derive(Default)]
struct BenchLink {
    now: f64,
    instances: BTreeMap<String, Instance>,
    lists: [Option<Vec<Member>>; 16],
    /// The list being read: its number, the entries due and those read so far.
    reading: Option<(usize, usize, Vec<Member>)>,
    passed_over: BTreeSet<String>,
    reply: String,
    actions: Vec<Action>,
}

enum Step {
    More,
    EndOfBatch,
}

impl BenchLink {
    fn line(&mut self, text: &str) -> Result<Step, WireError> {
        if let Some((number, due, mut members)) = self.reading.take() {
            members.push(Member::parse(text)?);
            if members.len() < due {
                self.reading = Some((number, due, members));
            } else {
                self.lists[number] = Some(members);
            }
            return Ok(Step::More);
        }
        let line = Line::parse(text)?;
        match line.message {
            "CLOCK" => self.now = line.need_figure("wall_ms")?,
            "EOB" => {
                self.reply.push_str("NEXT\n");
                return Ok(Step::EndOfBatch);
            }
            "CENSUS" => self.census(&line)?,
            "BOOT" => {
                let mut dialect = Dialect::default();
                let settings = dialect.settings(line.text("facts")?)?;
                let seed = line.whole("seed")?.unwrap_or(0);
                let balancer = Balancer::new(settings, seed).map_err(|e| WireError::other(&e))?;
                self.instances.insert(
                    line.text("node")?.to_owned(),
                    Instance { balancer, dialect },
                );
            }
            "TEARDOWN" => drop(self.instances.remove(line.text("node")?)),
            "REGISTRY" | "CALL" | "ACK_FIRST" | "ENDED" | "HANGUP" | "FIRED" | "HEALTH" => {
                self.event(&line)?;
            }
            "FROM_PEER" => {} // peers tell a balancer nothing
            other => self.note(other, "passed over an unknown message"),
        }
        Ok(Step::More)
    }

    fn census(&mut self, line: &Line<'_>) -> Result<(), WireError> {
        let need = |name| {
            line.whole(name)?
                .map_or_else(|| line.text(name).map(|_| 0), Ok)
        };
        let (number, due) = (need("roster_id")? as usize, need("hosts")? as usize);
        if number >= self.lists.len() {
            return Err(WireError::other(&format!(
                "`roster_id={number}` is out of range"
            )));
        }
        if due == 0 {
            self.lists[number] = Some(Vec::new());
        } else {
            self.reading = Some((number, due, Vec::new()));
        }
        Ok(())
    }

    fn event(&mut self, line: &Line<'_>) -> Result<(), WireError> {
        let node = line.text("node")?;
        let Some(instance) = self.instances.get_mut(node) else {
            self.note(
                node,
                "passed over a message to an instance that is not running",
            );
            return Ok(());
        };
        let Some(event) = instance.dialect.event(line, &self.lists)? else {
            return Ok(());
        };
        let (now, actions) = (self.now, &mut self.actions);
        let handled = panic::catch_unwind(AssertUnwindSafe(|| {
            instance.balancer.handle(now, event, actions);
        }));
        if handled.is_ok() {
            for action in self.actions.drain(..) {
                instance.dialect.print(node, &action, &mut self.reply);
            }
        } else {
            self.actions.clear();
            self.reply.push_str(&format!(
                "INTERNAL_ERROR node={node} note_text=the balancer panicked\n"
            ));
            self.instances.remove(node);
        }
        Ok(())
    }

    fn note(&mut self, what: &str, why: &str) {
        if self.passed_over.insert(what.to_owned()) {
            eprintln!("silverthread-simulator-adapter: {why}: {}", one_line(what));
        }
    }
}

fn main() -> ExitCode {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut host = BenchLink::default();
    let (mut text, mut number) = (String::new(), 0_u64);
    loop {
        text.clear();
        number += 1;
        match input.read_line(&mut text) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(error) => {
                eprintln!("silverthread-simulator-adapter: line {number}: {error}");
                return ExitCode::FAILURE;
            }
        }
        let line = text.trim_end_matches(['\n', '\r']);
        // A blank line sets batches apart.
        let step = if line.is_empty() && host.reading.is_none() {
            Ok(Step::More)
        } else {
            host.line(line)
        };
        match step {
            Ok(Step::More) => {}
            Ok(Step::EndOfBatch) => {
                let written = output
                    .write_all(host.reply.as_bytes())
                    .and_then(|()| output.flush());
                if let Err(error) = written {
                    eprintln!(
                        "silverthread-simulator-adapter: line {number}: cannot reply: {error}"
                    );
                    return ExitCode::FAILURE;
                }
                host.reply.clear();
            }
            Err(error) => {
                let message = line.split(' ').next().unwrap_or_default();
                eprintln!("silverthread-simulator-adapter: line {number}: {message}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
}
