//! What goes in and what comes out.

use std::fmt;

use crate::wire::{MemberId, Refused, Seal};

/// An address that datagrams come from and go to, as the driver numbers them. A number never stands for another address.
pub type PeerId = usize;

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name; see [`is_name`](crate::is_name).
    pub name: String,
    /// A random number for this process, not 0.
    pub process: u64,
    /// Where its incarnations begin: best the Unix time in milliseconds, so that those of a process are higher than those
    /// of the one before. A clock that is wrong only makes it take one more exchange.
    pub incarnation: u64,
    /// Seals and opens its datagrams.
    pub seal: Seal,
    /// For random choices.
    pub seed: u64,
    /// How often it says to its observers that it is there, in milliseconds.
    pub probe_ms: f64,
    /// For how long a node must not have been heard before it can be gone, in milliseconds: pauses below that are borne.
    pub suspect_ms: f64,
    /// How many observers a node has.
    pub observers: usize,
    /// A mistake to be made.
    #[doc(hidden)]
    pub planted: Planted,
}

impl Settings {
    /// The ordinary ones.
    #[must_use]
    pub fn new(name: &str, process: u64, incarnation: u64, seal: Seal) -> Self {
        Self {
            name: name.to_owned(),
            process,
            incarnation,
            seal,
            seed: process,
            probe_ms: 500.0,
            suspect_ms: 2_500.0,
            observers: 6,
            planted: Planted::None,
        }
    }
}

/// A mistake that is made on purpose, so that the tests can show that they find it. Only the feature `planted`, which no
/// product has, makes any but the first possible.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Planted {
    #[default]
    None,
    /// What a node says against its own end is not believed.
    RefutationIgnored,
    /// An incarnation that is the same counts as a later one.
    SameIncarnationWins,
    /// After a pause all that was due meanwhile is believed to have been missed.
    PauseAtFaceValue,
    /// Who hears nobody accuses everybody, and is believed.
    DeafBelieved,
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Bytes came from an address of a peer.
    Datagram {
        /// From which.
        from: PeerId,
        /// What came.
        bytes: &'a [u8],
    },
    /// The time that was asked for has come; too early or too late does no harm.
    Due,
    /// These are the peers' addresses now. Its own may be among them.
    Peers(Vec<PeerId>),
    /// It says that it is there this often from now on, and bears pauses of this long; both in milliseconds.
    Timings {
        /// See [`Settings::probe_ms`].
        probe_ms: f64,
        /// See [`Settings::suspect_ms`].
        suspect_ms: f64,
    },
    /// It is about to end: it says goodbye.
    Leave,
    /// Another part of the program has a word for a node: sealed and numbered as all else, and lost as easily.
    Say {
        /// To whom.
        to: MemberId,
        /// What: at most [`MOST_WORD`](crate::MOST_WORD) bytes.
        bytes: &'a [u8],
    },
}

/// What a node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A datagram goes out.
    Send {
        /// Where to.
        to: PeerId,
        /// What.
        bytes: Vec<u8>,
    },
    /// [`Event::Due`] is to come at this time, and at no other that was asked for before.
    WakeAt(f64),
    /// Another node's state has changed.
    Changed(Change),
    /// How well this node hears and is heard has changed.
    Health(Health),
    /// A line for the operators.
    Note(Note),
    /// A node has a word for another part of the program. It was made in this life of both, and comes once.
    Word {
        /// From which node.
        from: MemberId,
        /// From which process of it.
        process: u64,
        /// What.
        bytes: Vec<u8>,
    },
}

/// What is believed of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It is there.
    Alive,
    /// One that should hear it does not; others are being asked.
    Suspect,
    /// It is gone, until it is heard as a later incarnation.
    Gone,
    /// It has said goodbye.
    Left,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Gone => "gone",
            Self::Left => "left",
        })
    }
}

/// How well this node itself hears and is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// It hears nobody, or nobody hears it, or it is gone to the others: what it believes of them is old.
    Isolated,
    /// It misses more than a quarter of what it should hear, or of the answers that it should get.
    Degraded,
    /// Neither.
    Well,
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Isolated => "isolated",
            Self::Degraded => "degraded",
            Self::Well => "well",
        })
    }
}

/// A node as it is believed to be. A hint with an age.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Whether it is this node itself.
    pub is_self: bool,
    /// What is believed of it.
    pub state: State,
    /// In which incarnation.
    pub incarnation: u64,
    /// Since when, by this node's clock.
    pub since_ms: f64,
    /// When this node itself last heard it, if it ever did.
    pub heard_ms: Option<f64>,
    /// At which address.
    pub address: Option<PeerId>,
}

/// Why a node's state has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Cause {
    /// This node heard it.
    Heard,
    /// Another node told.
    Told {
        /// Its name.
        by: String,
    },
    /// This node has not heard it for so long.
    Silent {
        /// For how long, in milliseconds.
        ms: f64,
    },
    /// Nor have others.
    Agreed {
        /// For how long it had been silent here, in milliseconds.
        ms: f64,
        /// Who do not hear it, this node among them.
        silent: usize,
        /// Who do.
        hear: usize,
    },
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Heard => write!(f, "it is heard"),
            Self::Told { by } => write!(f, "{by} says so"),
            Self::Silent { ms } => write!(f, "it has not been heard for {ms:.0} ms"),
            Self::Agreed { ms, silent, hear } => {
                write!(
                    f,
                    "{silent} do not hear it and {hear} do, after {ms:.0} ms of silence here"
                )
            }
        }
    }
}

/// A change of what is believed of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Which node.
    pub name: String,
    /// What was believed; nothing of one that was not known.
    pub from: Option<State>,
    /// What is believed now.
    pub to: State,
    /// In which incarnation.
    pub incarnation: u64,
    /// Why.
    pub cause: Cause,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            from,
            to,
            incarnation,
            cause,
        } = self;
        let was = from
            .map(|from| format!(" (was {from})"))
            .unwrap_or_default();
        write!(f, "{name} is {to}{was}, incarnation {incarnation}: {cause}")
    }
}

/// A line for the operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// This process stood still.
    Woke {
        /// For how long, in milliseconds.
        ms: f64,
    },
    /// The others take this node for gone.
    SelfGone {
        /// Who told.
        by: String,
    },
    /// It comes back.
    Returns {
        /// As which incarnation.
        incarnation: u64,
    },
    /// Another process has this node's name.
    Rival {
        /// Its incarnation.
        theirs: u64,
        /// This one's.
        own: u64,
        /// Whether this one gives way.
        yields: bool,
    },
    /// No more nodes are held.
    Full,
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Woke { ms } => {
                write!(
                    f,
                    "this process stood still for {ms:.0} ms; it accuses nobody of silence then"
                )
            }
            Self::SelfGone { by } => write!(f, "this node is gone to the others, as {by} says"),
            Self::Returns { incarnation } => {
                write!(f, "this node comes back as incarnation {incarnation}")
            }
            Self::Rival {
                theirs,
                own,
                yields,
            } => {
                let end = if *yields {
                    "this one gives way"
                } else {
                    "this one goes on"
                };
                write!(
                    f,
                    "two processes have this node's name: incarnation {theirs} beside {own}; {end}"
                )
            }
            Self::Full => {
                write!(
                    f,
                    "there are more than {} nodes; newcomers are turned away",
                    crate::MOST_MEMBERS
                )
            }
        }
    }
}

/// Counts since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Datagrams that came and were taken, and their bytes.
    pub received: (u64, u64),
    /// Datagrams that went out, and their bytes.
    pub sent: (u64, u64),
    /// Nodes that this one found gone by itself, with the votes of others.
    pub verdicts: u64,
    /// Times that this node came back from being gone.
    pub refutations: u64,
    /// What was not taken, in the order of [`Refused::ALL`].
    pub refused: [u64; Refused::ALL.len()],
}

impl Figures {
    /// Counts what was not taken.
    pub fn refuse(&mut self, why: Refused) {
        let at = Refused::ALL.iter().position(|held| *held == why);
        self.refused[at.unwrap_or(0)] += 1;
    }
}
