//! The lines that the adapter writes for a balancer's actions.

use std::fmt::{self, Write as _};

use balancer::{Action, LogEvent};

use super::instance::ServerNames;

/// Appends the protocol line for an action to `out`.
pub(super) fn append_action_line(
    node: &str,
    servers: &ServerNames,
    action: &Action,
    out: &mut String,
) {
    write_action(node, servers, action, out).expect("writing to a string cannot fail");
    out.push('\n');
}

fn write_action(
    node: &str,
    servers: &ServerNames,
    action: &Action,
    out: &mut String,
) -> fmt::Result {
    match action {
        Action::Send { request, server } => {
            let server = servers.name(*server);
            write!(out, "PLACE node={node} txn={} server={server}", request.0)
        }
        Action::HealthCheck { server } => {
            let server = servers.name(*server);
            write!(out, "SOUND_OUT node={node} server={server}")
        }
        Action::CloseIdle { server } => {
            let server = servers.name(*server);
            write!(out, "CLOSE node={node} server={server}")
        }
        Action::Cancel { request, attempt } => {
            let request = request.0;
            write!(out, "STOP_ATTEMPT node={node} txn={request} try={attempt}")
        }
        Action::Reject {
            request,
            retry_after_ms,
        } => {
            write!(out, "PUSH_BACK node={node} txn={}", request.0)?;
            match retry_after_ms {
                Some(ms) => write!(out, " stay_away_ms={ms:.3}"),
                None => Ok(()),
            }
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
            write!(out, "NOTE_DOWN node={node} note_text=")?;
            write_note_text(*event, out)
        }
    }
}

/// Writes the text of a note. Simulator runs are compared by these texts, so they must not change; the
/// node's log uses the `Display` text of [`LogEvent`] instead.
fn write_note_text(event: LogEvent, out: &mut String) -> fmt::Result {
    match event {
        LogEvent::ServerListUnavailable => out.write_str("the list of servers does not come"),
        LogEvent::ServerListAvailable => out.write_str("the list of servers comes again"),
        LogEvent::ServerEjected(server) => write!(out, "server {} is taken out", server.0),
        LogEvent::ServerRecovered(server) => write!(out, "server {} is back", server.0),
    }
}
