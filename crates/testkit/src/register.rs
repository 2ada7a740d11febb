//! A resource that checks fencing tokens, and a check of the lines that it accepted. It accepts a
//! line whose token is not lower than the highest accepted one, rejects all others and logs both.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout for receiving the line of a connection: longer than any pause in a test, because the
/// register has to receive late lines.
const READ_TIMEOUT: Duration = Duration::from_secs(120);

/// A line that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// Time of arrival, after the delay of its node.
    pub at: Instant,
    /// The fencing token.
    pub token: u64,
    /// The line's number, which the node assigned.
    pub number: u64,
    /// The node that sent it.
    pub node: String,
    /// Whether it was accepted.
    pub is_accepted: bool,
}

/// A running register.
pub struct Register {
    /// Address on which the register listens.
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<Effect>>>,
    delays: Arc<Mutex<BTreeMap<String, Duration>>>,
}

impl Register {
    /// Starts a register with an empty log.
    #[must_use]
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
        let address = listener.local_addr().expect("address of the socket");
        let log: Arc<Mutex<Vec<Effect>>> = Arc::default();
        let delays: Arc<Mutex<BTreeMap<String, Duration>>> = Arc::default();
        let shared = (Arc::clone(&log), Arc::clone(&delays));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (log, delays) = shared.clone();
                // A connection that closes before the end of its line has no effect.
                thread::spawn(move || serve_line(stream, &log, &delays));
            }
        });
        Self {
            address,
            log,
            delays,
        }
    }

    /// Delays the lines of a node by this time from now on.
    pub fn delay(&self, node: &str, delay: Duration) {
        self.delays
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(node.into(), delay);
    }

    /// Number of lines that were rejected because of their token.
    #[must_use]
    pub fn rejected(&self) -> usize {
        self.log()
            .iter()
            .filter(|effect| !effect.is_accepted)
            .count()
    }

    /// All lines that arrived, in order of arrival.
    #[must_use]
    pub fn log(&self) -> Vec<Effect> {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The last accepted line.
    #[must_use]
    pub fn last(&self) -> Option<Effect> {
        self.log().into_iter().rfind(|effect| effect.is_accepted)
    }

    /// Describes the first violation among the accepted lines: two nodes under one token, or a
    /// lower token after a higher one. `None` if there is none.
    #[must_use]
    pub fn violation(&self) -> Option<String> {
        let log = self.log();
        let accepted: Vec<_> = log.iter().filter(|effect| effect.is_accepted).collect();
        accepted.windows(2).find_map(|pair| {
            let [before, after] = pair else { return None };
            let is_violation = after.token < before.token
                || (after.token == before.token && after.node != before.node);
            is_violation.then(|| format!("{after:?} after {before:?}"))
        })
    }
}

/// Reads one line, waits for the node's delay, logs the line and responds.
fn serve_line(
    mut stream: TcpStream,
    log: &Mutex<Vec<Effect>>,
    delays: &Mutex<BTreeMap<String, Duration>>,
) -> Option<()> {
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let mut line = String::new();
    BufReader::new(stream.try_clone().ok()?)
        .read_line(&mut line)
        .ok()?;
    let mut fields = line.strip_suffix('\n')?.split(' ');
    let (Some("APPEND"), Some(token), Some(number), Some(node)) =
        (fields.next(), fields.next(), fields.next(), fields.next())
    else {
        return None;
    };
    let (token, number) = (token.parse().ok()?, number.parse().ok()?);
    let delay = delays
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .get(node)
        .copied();
    thread::sleep(delay.unwrap_or_default());
    let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
    let highest = log
        .iter()
        .filter(|effect| effect.is_accepted)
        .map(|effect| effect.token)
        .max()
        .unwrap_or(0);
    let is_accepted = token >= highest;
    log.push(Effect {
        at: Instant::now(),
        token,
        number,
        node: node.into(),
        is_accepted,
    });
    drop(log);
    let response = if is_accepted {
        "OK\n".to_owned()
    } else {
        format!("LOW {highest}\n")
    };
    stream.write_all(response.as_bytes()).ok()
}

#[cfg(test)]
mod tests;
