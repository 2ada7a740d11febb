//! The operators' address: one line a connection, and its answer.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use admin::{render, Call, MOST_LINE};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use crate::node::admin::log;
use crate::node::cluster::Fleet;
use crate::node::downstream::clients::{FrontOptions, Phase, ACCEPT_AGAIN};
use crate::node::driver::Driver;

/// How long a caller may take over its line and its answer: many times what one needs, and callers that finish nothing
/// hold a descriptor no longer.
const CALL_TIME: Duration = Duration::from_secs(5);
/// Callers at a time; beyond them the one that came first makes room. Each holds a descriptor beside those of clients and
/// servers.
const MOST_CALLERS: usize = 16;

/// What is told and done here.
#[derive(Clone)]
pub struct Desk {
    driver: Rc<Driver>,
    options: FrontOptions,
    fleet: Option<Rc<Fleet>>,
}

impl Desk {
    /// Of a node's driver, of the entrance to it, and of what it knows of other nodes, where it looks.
    #[must_use]
    pub fn new(driver: Rc<Driver>, options: FrontOptions, fleet: Option<Rc<Fleet>>) -> Self {
        Self {
            driver,
            options,
            fleet,
        }
    }

    fn answer(&self, line: &[u8]) -> String {
        match Call::read(line) {
            Ok(Call::Ready) if *self.options.phases.borrow() == Phase::Serving => {
                "200 ready\n".into()
            }
            Ok(Call::Ready) => "400 not ready: it is on its way out\n".into(),
            Ok(Call::Stats) => {
                let fleet = self
                    .fleet
                    .as_ref()
                    .map(|fleet| fleet.figures())
                    .unwrap_or_default();
                format!(
                    "{}{fleet}EOF\n",
                    render(&self.driver.figures, self.driver.servers_now())
                )
            }
            Ok(Call::Members) => match &self.fleet {
                Some(fleet) => format!("{}EOF\n", fleet.members()),
                None => "400 this node looks for no others\n".into(),
            },
            Ok(Call::Owners) => match self.fleet.as_ref().and_then(|fleet| fleet.owners()) {
                Some(owners) => format!("{owners}EOF\n"),
                None => "400 this node takes no part in leases\n".into(),
            },
            Ok(Call::Hints) => match self.fleet.as_ref().and_then(|fleet| fleet.hints()) {
                Some(hints) => format!("{hints}EOF\n"),
                None => "400 this node takes no word of servers\n".into(),
            },
            Ok(Call::Give(shard, node)) => {
                match self
                    .fleet
                    .as_ref()
                    .map(|fleet| fleet.transfer_shard(shard, node.as_str()))
                {
                    Some(Ok(())) => "200 given\n".into(),
                    Some(Err(why)) => format!("400 {why}\n"),
                    None => "400 this node takes no part in leases\n".into(),
                }
            }
            Ok(Call::Drain) => {
                self.drains(true);
                "200 draining\n".into()
            }
            Ok(Call::Undrain) => {
                self.drains(false);
                "200 serving\n".into()
            }
            Err(error) => format!("400 {error}\n"),
        }
    }

    fn drains(&self, drains: bool) {
        let mut drain = self.options.drain.get();
        if drains {
            drain.begin(self.driver.now_ms());
        } else {
            drain.end();
        }
        if self.options.drain.replace(drain) != drain {
            log::line(if drains {
                "operators send clients away"
            } else {
                "operators end the drain"
            });
        }
    }
}

/// Answers operators for as long as it is polled.
pub async fn serve(listener: TcpListener, desk: Desk) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|caller| !caller.is_finished());
                if callers.len() >= MOST_CALLERS {
                    callers.pop_front().inspect(AbortHandle::abort);
                }
                let desk = desk.clone();
                let call = tokio::task::spawn_local(async move {
                    // A caller that leaves or dawdles has no answer, and knows it.
                    let _ = tokio::time::timeout(CALL_TIME, call(stream, &desk)).await;
                });
                callers.push_back(call.abort_handle());
            }
            Err(error) => {
                log::line(format_args!("cannot accept an operator's call: {error}"));
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

async fn call(mut stream: TcpStream, desk: &Desk) -> io::Result<()> {
    let mut line = Vec::with_capacity(MOST_LINE + 1);
    while !line.contains(&b'\n') && line.len() <= MOST_LINE {
        if (&mut stream)
            .take((MOST_LINE + 1 - line.len()) as u64)
            .read_buf(&mut line)
            .await?
            == 0
        {
            break;
        }
    }
    let end = line
        .iter()
        .position(|byte| *byte == b'\n')
        .map_or(line.len(), |at| at + 1);
    if end > 0 {
        stream
            .write_all(desk.answer(&line[..end]).as_bytes())
            .await?;
    }
    stream.shutdown().await?;
    // Guards against an answer that is reset before its caller has read it: what is unread would do that.
    let mut rest = [0; MOST_LINE];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
