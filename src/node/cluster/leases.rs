//! Leases among the nodes of the fleet: the words of [`lease`] go in datagrams of [`gossip`], which seals and numbers them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use gossip::{Event as Gossiped, Health, MemberId, State};
use lease::{
    Action, Change, Event, Fence, Leases, NodeId, Note, Permit, Settings, Shard, Standing,
};

use super::{boot_ms, metric_lines, Cluster};
use crate::node::admin::log;
use crate::node::clock::Alarm;

/// What the operators' file says of leases.
#[derive(Clone, Debug, PartialEq)]
pub struct Keeping {
    /// The names of the nodes that keep: 3, 5 or 7.
    pub keepers: Vec<String>,
    /// The number of that set.
    pub set: u32,
    /// The keepers before, where a fleet that runs goes from those to these.
    pub before: Vec<String>,
    /// See [`Settings::shards`].
    pub shards: Shard,
    /// See [`Settings::lease_ms`].
    pub lease_ms: f64,
    /// See [`Settings::drift`].
    pub drift: f64,
    /// Where a keeper writes down up to which fence it may have granted.
    pub fence_file: Option<PathBuf>,
    /// Where the register is to which the owner of the duty `fleet-log` appends.
    pub fleet_log: Option<SocketAddr>,
}

impl Default for Keeping {
    fn default() -> Self {
        let Settings {
            set,
            shards,
            lease_ms,
            drift,
            ..
        } = Settings::new(NodeId(0), 0, Vec::new());
        let (keepers, before) = (Vec::new(), Vec::new());
        Self {
            keepers,
            set,
            before,
            shards,
            lease_ms,
            drift,
            fence_file: None,
            fleet_log: None,
        }
    }
}

fn number(name: &str) -> NodeId {
    NodeId(MemberId::of(name).0)
}

fn numbers(names: &[String]) -> Vec<NodeId> {
    names.iter().map(|name| number(name)).collect()
}

impl Keeping {
    /// As a node of this name takes it, in this process.
    #[must_use]
    pub fn settings(&self, name: &str, process: u64) -> Settings {
        let Self {
            set,
            shards,
            lease_ms,
            drift,
            ..
        } = *self;
        let (keepers, before) = (numbers(&self.keepers), numbers(&self.before));
        Settings {
            set,
            before,
            shards,
            lease_ms,
            drift,
            ..Settings::new(number(name), process, keepers)
        }
    }
}

/// A node's part in leases.
pub struct Part {
    /// None: another process has this node's name.
    leases: RefCell<Option<Leases>>,
    alarm: Alarm,
    /// The names of the numbers.
    names: RefCell<BTreeMap<NodeId, String>>,
    /// The latest of what owners said that they did, by shard: a word for each at the most.
    heard: RefCell<BTreeMap<Shard, Vec<u8>>>,
}

impl Part {
    /// Of a node that starts now, `unix_ms` by the wall clock.
    pub fn new(
        now: f64,
        keeping: &Keeping,
        name: &str,
        process: u64,
        unix_ms: u64,
    ) -> Result<Self, String> {
        let reserved = keeping
            .fence_file
            .as_ref()
            .map(|path| super::record::read(path, name))
            .transpose()?;
        let settings = Settings {
            floor: Fence::floor(unix_ms),
            reserved,
            ..keeping.settings(name, process)
        };
        let leases = Leases::new(now, settings).map_err(|error| error.to_string())?;
        let part = Self {
            leases: RefCell::new(Some(leases)),
            alarm: Alarm::new(),
            names: RefCell::default(),
            heard: RefCell::default(),
        };
        part.learn_names(keeping);
        part.names
            .borrow_mut()
            .insert(number(name), name.to_owned());
        Ok(part)
    }

    fn learn_names(&self, keeping: &Keeping) {
        let named = keeping.keepers.iter().chain(&keeping.before);
        self.names
            .borrow_mut()
            .extend(named.map(|name| (number(name), name.clone())));
    }

    fn set(&self) -> (u32, bool) {
        self.leases.borrow().as_ref().map_or((0, true), Leases::set)
    }

    fn name(&self, of: NodeId) -> String {
        self.names
            .borrow()
            .get(&of)
            .cloned()
            .unwrap_or_else(|| format!("{:016x}", of.0))
    }
}

impl Cluster {
    /// Something happens to the leases.
    pub(super) fn lease_event(self: &Rc<Self>, event: Event<'_>) {
        let Some(part) = &self.leases else { return };
        let mut actions = Vec::new();
        if let Some(leases) = part.leases.borrow_mut().as_mut() {
            leases.handle(boot_ms(), event, &mut actions);
        }
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    self.handle_gossip_event(Gossiped::SendPayload {
                        to: MemberId(to.0),
                        bytes: &bytes,
                    });
                }
                Action::WakeAt(at) => part.alarm.set(at),
                Action::Changed(shard, fence, Change::Given(to)) => {
                    let to = part.name(to);
                    log::line(format_args!(
                        "leases: shard {shard} goes from here to {to}, fence {fence}"
                    ));
                }
                Action::Changed(shard, fence, change) => {
                    log::line(format_args!(
                        "leases: shard {shard} {change}, fence {fence}"
                    ));
                }
                Action::Note(Note::Grants) => log::line("leases: this keeper grants"),
                Action::Note(Note::Alone(set)) => {
                    log::line(format_args!(
                        "leases: the keepers of set {set} decide alone from here on"
                    ));
                }
                Action::Reserve(fence) => {
                    tokio::task::spawn_local(super::record::reserve(Rc::clone(self), fence));
                }
                Action::Effect { shard, bytes, .. } => {
                    part.heard.borrow_mut().insert(shard, bytes);
                }
                Action::Note(Note::OtherSet { keeper, set }) => {
                    let (keeper, (own, _)) = (part.name(keeper), part.set());
                    log::line(format_args!(
                        "leases: {keeper} has other keepers or times, its set is {set} and this node's {own}"
                    ));
                }
            }
        }
    }

    pub(super) async fn wake_leases(self: Rc<Self>) {
        let Some(part) = &self.leases else { return };
        part.alarm.set(0.0);
        loop {
            part.alarm.rings(boot_ms).await;
            self.lease_event(Event::Due);
        }
    }

    /// Who is believed to be there has changed.
    pub(super) fn say_candidates(self: &Rc<Self>) {
        let Some(part) = &self.leases else { return };
        let mut candidates = Vec::new();
        let standing;
        {
            let gossip = self.gossip.borrow();
            standing = match gossip.health() {
                Health::Well => Standing::Well,
                Health::Degraded => Standing::Degraded,
                Health::Isolated => Standing::Isolated,
            };
            let mut names = part.names.borrow_mut();
            for member in gossip.members() {
                let id = number(&member.name);
                let is_fit = !member.is_self || standing == Standing::Well;
                if is_fit && matches!(member.state, State::Alive | State::Suspect) {
                    candidates.push(id);
                }
                names.entry(id).or_insert(member.name);
            }
        }
        self.lease_event(Event::Candidates(&candidates, standing));
    }

    /// Another process has this node's name: this one keeps and owns nothing from here on.
    pub(super) fn end_leases(self: &Rc<Self>) {
        let Some(part) = &self.leases else { return };
        self.lease_event(Event::Leave);
        if part.leases.borrow_mut().take().is_some() {
            log::line("leases: this process takes no part any more");
        }
    }

    /// Goes by the keepers that the operators' file names now, if that is safe here and now.
    pub(super) fn change_keepers(&self, keeping: &Keeping) {
        let Some(part) = &self.leases else { return };
        part.learn_names(keeping);
        let (keepers, before) = (numbers(&keeping.keepers), numbers(&keeping.before));
        let changed = match part.leases.borrow_mut().as_mut() {
            Some(leases) => leases.change(boot_ms(), keeping.set, &keepers, &before),
            None => return,
        };
        match changed {
            Ok(false) => {}
            Ok(true) => {
                let (set, names) = (keeping.set, keeping.keepers.join(", "));
                log::line(format_args!(
                    "leases: kept by {names} (set {set}), with those before for a while"
                ));
                part.alarm.set(0.0);
            }
            Err(error) => log::line(format_args!(
                "leases: the keepers stay as they are: {error}"
            )),
        }
    }

    /// Tells all others what was done as the owner of a shard.
    pub(super) fn tell(self: &Rc<Self>, shard: Shard, bytes: &[u8]) {
        self.lease_event(Event::Tell(shard, bytes));
    }

    /// The latest of what an owner of a shard said that it did.
    pub(super) fn told(&self, shard: Shard) -> Option<Vec<u8>> {
        self.leases.as_ref()?.heard.borrow().get(&shard).cloned()
    }

    /// Calls with leave to act on a shard, if this process owns it now.
    pub fn permitted<T>(&self, shard: Shard, act: impl FnOnce(&Permit<'_>, f64) -> T) -> Option<T> {
        let part = self.leases.as_ref()?;
        let leases = part.leases.borrow();
        let now = boot_ms();
        let permit = leases.as_ref()?.permit(now, shard)?;
        Some(act(&permit, now))
    }

    /// How many shards there are; none where it takes no part.
    #[must_use]
    pub fn shards(&self) -> Shard {
        let owners = |part: &Part| {
            part.leases
                .borrow()
                .as_ref()
                .map_or(0, |leases| leases.owners(0.0).count())
        };
        self.leases.as_ref().map_or(0, owners) as Shard // At most 128.
    }

    /// What `OWNERS` answers, but for its last line.
    #[must_use]
    pub fn owners(&self) -> Option<String> {
        let part = self.leases.as_ref()?;
        let leases = part.leases.borrow();
        let leases = leases.as_ref()?;
        let now = boot_ms();
        let is_keeper = leases.keepers().contains(&number(&self.name));
        let keeper = match (is_keeper, leases.grants()) {
            (false, _) => "no",
            (true, true) => "grants",
            (true, false) => "silent",
        };
        let (set, is_alone) = leases.set();
        // While keepers change, what this node needs is most of both sets.
        let both = if is_alone { "" } else { " changing" };
        let mut text = format!("self {} {keeper} {set}{both}\n", self.name);
        for owner in leases.owners(now) {
            let name = owner.node.map_or("-".into(), |node| part.name(node));
            let since = (now - owner.since_ms).max(0.0);
            let (shard, fence, left) = (owner.shard, owner.fence, owner.left_ms);
            let _ = writeln!(text, "{shard} {name} {fence} {left:.0} {since:.0}");
            // Text grows without fail.
        }
        Some(text)
    }

    /// Gives a shard that this process owns to a node.
    ///
    /// # Errors
    ///
    /// Why it does not, in words.
    pub fn give(self: &Rc<Self>, shard: Shard, to: &str) -> Result<(), String> {
        if self.permitted(shard, |_, _| ()).is_none() {
            return Err(format!("shard {shard} is not owned here"));
        }
        let is_there = {
            let gossip = self.gossip.borrow();
            let there = gossip
                .members()
                .any(|member| member.name == to && member.state == State::Alive);
            there && to != self.name
        };
        if !is_there {
            return Err(format!("{to} is no other node that is there"));
        }
        self.lease_event(Event::Give(shard, number(to)));
        Ok(())
    }

    pub(super) fn lease_figures(&self) -> String {
        let Some(part) = &self.leases else {
            return String::new();
        };
        let leases = part.leases.borrow();
        let Some(leases) = leases.as_ref() else {
            return String::new();
        };
        let figures = leases.figures();
        let owned = leases
            .owners(boot_ms())
            .filter(|owner| owner.left_ms > 0.0)
            .count() as u64;
        let lines = [
            ("owned", owned, 'g'),
            ("won", figures.won, 'c'),
            ("unheard", figures.unheard, 'c'),
            ("given", figures.given, 'c'),
            ("grants", figures.grants, 'c'),
            ("refusals", figures.refusals, 'c'),
            ("effects", figures.effects, 'c'),
            ("stale", figures.stale, 'c'),
            ("malformed", figures.malformed, 'c'),
            ("words_out", figures.sent.0, 'c'),
            ("bytes_out", figures.sent.1, 'c'),
        ];
        metric_lines("lease", &lines)
    }
}
