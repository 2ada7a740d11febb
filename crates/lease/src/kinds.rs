//! What goes in and what comes out.

use std::fmt;

use stable_hash::mix;

/// A node, by a number that its name comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

/// A share of the work.
pub type Shard = u8;

/// The number of an ownership. A later owner of a shard always has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence(pub u64);

impl Fence {
    /// The next one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The lowest that a keeper grants that starts at a time by the wall clock, in milliseconds since 1970. There is room
    /// for a million owners a second, so a keeper that forgot what it granted starts above that as long as its machine's
    /// wall clock was not set back to before it began.
    #[must_use]
    pub fn floor(unix_ms: u64) -> Self {
        Self(unix_ms.min(LATEST_MS) * OWNERS_A_MS)
    }
}

/// Owners that have room between two floors a millisecond apart: many times what any fleet has.
const OWNERS_A_MS: u64 = 1 << 10;
/// The latest time that a floor goes by, in the year 2248: with a wall clock that is further off the numbers end nowhere near
/// the highest.
const LATEST_MS: u64 = 1 << 43;

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A mistake that is made on purpose, for the tests alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Planted {
    /// None.
    #[default]
    None,
    /// A keeper that restarted grants at once.
    NoQuarantine,
    /// A lease is counted from the answer.
    FromAnswer,
    /// A grant for a fence that is as high as the highest.
    SameFence,
    /// A keeper forgets the highest fence once a grant is over.
    ForgetsHighest,
    /// All restarted keepers begin at nought.
    NoFloor,
    /// A keeper renews what it has granted to another since.
    OldRenewal,
    /// A new set of keepers decides alone at once.
    AloneAtOnce,
}

/// What a node has to know from the start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node.
    pub me: NodeId,
    /// This process of it, a number that no other process has.
    pub process: u64,
    /// Who keeps; in no order. 3, 5 or 7.
    pub keepers: Vec<NodeId>,
    /// The number of that set: another set has another.
    pub set: u32,
    /// The keepers before, of set `set - 1`, where a fleet that runs goes from those to these; else none.
    pub before: Vec<NodeId>,
    /// How many shards there are.
    pub shards: Shard,
    /// How long a lease is, in milliseconds. The same at all nodes.
    pub lease_ms: f64,
    /// By what part two clocks may differ in rate.
    pub drift: f64,
    /// The lowest fence that this node grants as a keeper, see [`Fence::floor`].
    pub floor: Fence,
    /// Up to which fence a keeper may grant, as was written down before it started; none: nothing is written down, and it
    /// grants any.
    pub reserved: Option<Fence>,
    /// What chances are drawn from.
    pub seed: u64,
    /// For the tests.
    pub planted: Planted,
}

/// Settings that make no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// Neither 3 nor 5 nor 7 keepers, or one of them twice.
    Keepers(usize),
    /// The first set has none before it.
    Before,
    /// No shard, or more than [`Settings::MOST_SHARDS`].
    Shards(Shard),
    /// A lease or a drift outside of their bounds.
    Times,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Keepers(count) => write!(
                f,
                "{count} keepers: there have to be 3, 5 or 7, each named once"
            ),
            Self::Before => write!(
                f,
                "the keepers before are those of the set before: `set` is 2 or more"
            ),
            Self::Shards(count) => {
                write!(
                    f,
                    "{count} shards: there have to be 1 to {}",
                    Settings::MOST_SHARDS
                )
            }
            Self::Times => {
                let (least, most) = (Settings::LEAST_LEASE_MS, Settings::MOST_LEASE_MS);
                let drift = Settings::MOST_DRIFT;
                write!(
                    f,
                    "a lease lasts {least} to {most} ms, and a drift is 0 to {drift}"
                )
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// What the datagrams of one renewal have room for.
    pub const MOST_SHARDS: Shard = 128;
    /// The shortest lease, in milliseconds: several round trips and ticks fit a third of it.
    pub const LEAST_LEASE_MS: f64 = 300.0;
    /// The longest, in milliseconds: nobody acts for so long after an owner's end.
    pub const MOST_LEASE_MS: f64 = 10_000.0;
    /// The most that clocks may differ in rate: beyond it they are broken.
    pub const MOST_DRIFT: f64 = 0.1;

    /// With the ordinary times and 64 shards.
    #[must_use]
    pub fn new(me: NodeId, process: u64, keepers: Vec<NodeId>) -> Self {
        Self {
            me,
            process,
            keepers,
            set: 1,
            before: Vec::new(),
            shards: 64,
            lease_ms: 2_500.0,
            drift: 0.01,
            floor: Fence(0),
            reserved: None,
            seed: process,
            planted: Planted::None,
        }
    }

    /// Whether they make sense.
    ///
    /// # Errors
    ///
    /// What does not.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_keepers(&self.keepers)?;
        if !self.before.is_empty() {
            check_keepers(&self.before)?;
            if self.set < 2 {
                return Err(SettingsError::Before);
            }
        }
        if !(1..=Self::MOST_SHARDS).contains(&self.shards) {
            return Err(SettingsError::Shards(self.shards));
        }
        let is_lease = (Self::LEAST_LEASE_MS..=Self::MOST_LEASE_MS).contains(&self.lease_ms);
        if !is_lease || !(0.0..=Self::MOST_DRIFT).contains(&self.drift) {
            return Err(SettingsError::Times);
        }
        Ok(())
    }

    /// What tells this set, and how long it grants, from any other.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint_of(self.set, &self.keepers)
    }

    /// The same of the set before; 0: there is none.
    #[must_use]
    pub fn fingerprint_before(&self) -> u64 {
        if self.before.is_empty() {
            return 0;
        }
        self.fingerprint_of(self.set.saturating_sub(1), &self.before)
    }

    fn fingerprint_of(&self, set: u32, keepers: &[NodeId]) -> u64 {
        let keepers = sorted(keepers);
        let numbers = keepers.iter().map(|keeper| keeper.0);
        let rest = [
            u64::from(set),
            u64::from(self.shards),
            self.lease_ms.to_bits(),
            self.drift.to_bits(),
        ];
        // 0 stands for none.
        numbers
            .chain(rest)
            .fold(0, |all, number| mix(all ^ number))
            .max(1)
    }

    /// For how long a keeper may have granted, by its own clock, which may be the faster one.
    #[must_use]
    pub fn longest_ms(&self) -> f64 {
        self.lease_ms * (1.0 + self.drift)
    }
}

fn check_keepers(keepers: &[NodeId]) -> Result<(), SettingsError> {
    let mut each = sorted(keepers);
    each.dedup();
    let is_sound = [3, 5, 7].contains(&each.len()) && each.len() == keepers.len();
    if is_sound {
        Ok(())
    } else {
        Err(SettingsError::Keepers(keepers.len()))
    }
}

/// In the one order that all nodes have.
pub(crate) fn sorted(keepers: &[NodeId]) -> Vec<NodeId> {
    let mut keepers = keepers.to_vec();
    keepers.sort_unstable();
    keepers
}

/// Why a node goes on with the keepers that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// Other keepers under the same number.
    SameNumber(u32),
    /// Not the next number.
    NotNext {
        /// The number that it has.
        has: u32,
        /// The number that was asked for.
        wanted: u32,
    },
    /// The set that it has does not decide alone yet: an earlier one may.
    Unsettled(u32),
    /// The keepers before are not those that it has.
    NotBefore,
    /// They make no sense.
    Settings(SettingsError),
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SameNumber(set) => write!(
                f,
                "set {set} has other keepers: others need the next number"
            ),
            Self::NotNext { has, wanted } => {
                write!(
                    f,
                    "set {wanted} does not follow {has}: keepers change one set after the other"
                )
            }
            Self::Unsettled(set) => {
                write!(f, "set {set} does not decide alone yet, an earlier one may")
            }
            Self::NotBefore => write!(f, "`before` has to name the keepers that this node goes by"),
            Self::Settings(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ChangeError {}

/// What happens to a node.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A word of another node's, from this process of it: sealed, and come once.
    Word {
        /// Which node.
        from: NodeId,
        /// Which process of it.
        process: u64,
        /// What it says.
        bytes: &'a [u8],
    },
    /// The time that was asked for has come.
    Due,
    /// Who is believed to be there, in no order, this node among them; and how well it hears.
    Candidates(&'a [NodeId], Standing),
    /// A shard is to go to a node.
    Give(Shard, NodeId),
    /// Something was done as the owner of a shard, and all others are to know: at most [`crate::MOST_EFFECT`] bytes.
    Tell(Shard, &'a [u8]),
    /// What was to be written down has been.
    Reserved(Fence),
    /// This process ends soon.
    Leave,
}

/// Whether a node is fit to own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It hears, and is heard.
    Well,
    /// Badly: it asks for what nobody else has taken for a while, as all may be so.
    Degraded,
    /// Not at all: it asks for nothing.
    Isolated,
}

/// Who owns a shard, as far as a node knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Owner {
    /// Which one.
    pub shard: Shard,
    /// Who; none is known.
    pub node: Option<NodeId>,
    /// The number of the ownership, or of the last that was heard of.
    pub fence: Fence,
    /// For how long this node itself may act, in milliseconds; 0: it may not.
    pub left_ms: f64,
    /// Since when that is so.
    pub since_ms: f64,
}

/// A shard has come or gone here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// This node owns it.
    Won,
    /// Not enough keepers answered in time.
    Unheard,
    /// It was given to another.
    Given(NodeId),
    /// It was let go.
    Released,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Won => write!(f, "is owned here: most keepers granted it"),
            Self::Unheard => write!(
                f,
                "is owned here no more: most keepers did not renew it in time"
            ),
            Self::Given(_) => write!(f, "is owned here no more: it was given away"),
            Self::Released => write!(f, "is owned here no more: it was let go"),
        }
    }
}

/// For the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// A keeper has other keepers, shards or times than this node.
    OtherSet {
        /// Which one.
        keeper: NodeId,
        /// The number of its set.
        set: u32,
    },
    /// As a keeper it grants from now on.
    Grants,
    /// The set of this number decides alone from now on.
    Alone(u32),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell a node.
    Send {
        /// Which one.
        to: NodeId,
        /// What.
        bytes: Vec<u8>,
    },
    /// Come again at this time at the latest; a later one overrules an earlier.
    WakeAt(f64),
    /// A shard has come or gone here.
    Changed(Shard, Fence, Change),
    /// For the operators.
    Note(Note),
    /// The owner of a shard says that it did something: no owner after it has said anything here.
    Effect {
        /// Who.
        from: NodeId,
        /// As the owner of which shard.
        shard: Shard,
        /// Under which number.
        fence: Fence,
        /// What.
        bytes: Vec<u8>,
    },
    /// Write down, so that it survives a crash, that this keeper grants fences up to this one, and say when that is done:
    /// [`Event::Reserved`].
    Reserve(Fence),
}

/// Counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Shards that came to be owned here.
    pub won: u64,
    /// Shards that were lost for want of answers.
    pub unheard: u64,
    /// Shards that were given or let go.
    pub given: u64,
    /// Grants as a keeper, renewals among them.
    pub grants: u64,
    /// Refusals as a keeper.
    pub refusals: u64,
    /// Effects of owners that others have followed: dropped.
    pub stale: u64,
    /// Effects of owners that were taken.
    pub effects: u64,
    /// Words that are none.
    pub malformed: u64,
    /// Words, and bytes of them.
    pub sent: (u64, u64),
}
