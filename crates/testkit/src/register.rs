//! A resource with fences, and the judge of all who act on it: it takes an effect whose number is no lower than the highest
//! that it has taken, refuses lower ones, and keeps an exact log.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How long one that connects may take over its line: longer than any pause that is played, as late lines are what it is
/// there for.
const PATIENCE: Duration = Duration::from_secs(120);

/// A line that came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// When.
    pub at: Instant,
    /// Under which number of an ownership.
    pub fence: u64,
    /// Which line of its process it was.
    pub number: u64,
    /// From which node.
    pub node: String,
    /// Whether it was taken.
    pub taken: bool,
}

/// A register.
pub struct Register {
    /// Where it listens.
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<Effect>>>,
    late: Arc<Mutex<BTreeMap<String, Duration>>>,
}

impl Register {
    /// One that has taken nothing.
    #[must_use]
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let log: Arc<Mutex<Vec<Effect>>> = Arc::default();
        let late: Arc<Mutex<BTreeMap<String, Duration>>> = Arc::default();
        let shared = (Arc::clone(&log), Arc::clone(&late));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (log, late) = shared.clone();
                // What ends in the midst of its line has had no effect.
                thread::spawn(move || take(stream, &log, &late));
            }
        });
        Self { address, log, late }
    }

    /// A node's lines are on their way for so long from now on.
    pub fn delay(&self, node: &str, time: Duration) {
        self.late
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(node.into(), time);
    }

    /// Lines that came under an old number and were refused.
    #[must_use]
    pub fn refused(&self) -> usize {
        self.log().iter().filter(|effect| !effect.taken).count()
    }

    /// What has come, in the order in which it came.
    #[must_use]
    pub fn log(&self) -> Vec<Effect> {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Who acted last.
    #[must_use]
    pub fn last(&self) -> Option<Effect> {
        self.log().into_iter().rfind(|effect| effect.taken)
    }

    /// Says what is wrong with what was taken: two nodes under one number, or a lower number after a higher.
    #[must_use]
    pub fn wrong(&self) -> Option<String> {
        let log = self.log();
        let taken: Vec<_> = log.iter().filter(|effect| effect.taken).collect();
        taken.windows(2).find_map(|pair| {
            let [before, after] = pair else { return None };
            let is_wrong = after.fence < before.fence
                || (after.fence == before.fence && after.node != before.node);
            is_wrong.then(|| format!("{after:?} after {before:?}"))
        })
    }
}

fn take(
    mut stream: TcpStream,
    log: &Mutex<Vec<Effect>>,
    late: &Mutex<BTreeMap<String, Duration>>,
) -> Option<()> {
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let mut line = String::new();
    BufReader::new(stream.try_clone().ok()?)
        .read_line(&mut line)
        .ok()?;
    let mut words = line.strip_suffix('\n')?.split(' ');
    let (Some("APPEND"), Some(fence), Some(number), Some(node)) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return None;
    };
    let (fence, number) = (fence.parse().ok()?, number.parse().ok()?);
    let on_its_way = late
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .get(node)
        .copied();
    thread::sleep(on_its_way.unwrap_or_default());
    let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
    let highest = log
        .iter()
        .filter(|effect| effect.taken)
        .map(|effect| effect.fence)
        .max()
        .unwrap_or(0);
    let taken = fence >= highest;
    log.push(Effect {
        at: Instant::now(),
        fence,
        number,
        node: node.into(),
        taken,
    });
    drop(log);
    let answer = if taken {
        "OK\n".to_owned()
    } else {
        format!("LOW {highest}\n")
    };
    stream.write_all(answer.as_bytes()).ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Read;

    #[test]
    fn a_lower_number_is_refused_and_judged() {
        let register = Register::start();
        let say = |line: &str| {
            let mut stream = TcpStream::connect(register.address).expect("a register");
            stream.write_all(line.as_bytes()).expect("sent");
            stream.shutdown(std::net::Shutdown::Write).expect("sent");
            let mut answer = String::new();
            stream.read_to_string(&mut answer).expect("an answer");
            answer
        };
        let answers = [
            "APPEND 5 1 a\n",
            "APPEND 4 1 b\n",
            "APPEND 6 1 b\n",
            "APPEND 7 1",
            "APPEND 6 2 b\n",
        ]
        .map(say);
        assert_eq!(answers, ["OK\n", "LOW 5\n", "OK\n", "", "OK\n"]);
        assert_eq!((register.wrong(), register.log().len()), (None, 4));
        assert_eq!(say("APPEND 6 1 c\n"), "OK\n", "it goes by the number alone");
        assert!(register.wrong().is_some(), "the judge does not");
    }
}
