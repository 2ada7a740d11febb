//! Every decision of a node. Types, events and actions: `interface.rs`; its records: `state.rs`.
//! The ordinary path is HSQ (Islam, "Network Load Balancing Methods", IV.E): `Balancer::pick` sends to
//! the lowest count and adds one, `Balancer::report` lets a fresh report overwrite its server's count.
//! All else decides which servers may be picked, and what becomes of a request that was not served.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::interface::{
    Action, Availability, Discovery, Effect, Ending, Event, Listing, Outcome, Report, Reports,
    Request, RequestId, ResendBudget, ServerId, Settings, SettingsError,
};
use crate::state::{Attempt, Held, Lane, Mean, Pace, Recent, Server};

/// Weight of one more outcome in a running mean: about the last sixteen count.
const GAIN: f64 = 1.0 / 16.0;
/// Outcomes that the knowledge of a server's kind weighs as much as, beside the server's own.
const PRIOR: f64 = 4.0;
/// Outcomes lose half their weight in this many mean aims: what is not confirmed is forgotten.
const MEMORY: f64 = 6.0;
/// A server expected to take this many times as long as the best is not picked; where not all servers are
/// heard of within an aim, counts are older and the second figure holds.
const BACKED_UP: [f64; 2] = [2.5, 1.5];
/// A server is taken out, or spared a tenant it is full for, for this many mean aims.
const EJECT: f64 = 2.0;
/// Mean deviations beyond the mean latency that are no ordinary answer (as TCP's time-out, RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// Where no budget of further attempts is set: this share of the requests over so many mean aims, so that
/// they cannot multiply an overload.
const RETRY_SHARE: f64 = 0.2;
const RETRY_SPAN: f64 = 25.0;
/// Part of the window for repeats within which a resend is made: it must arrive in it, too.
const WINDOW_PART: f64 = 0.8;
/// Part of its aim an answer may be expected to take, the second where the count is fresh; the least worth
/// gets `LEAST_AIM` of that.
const AIM_PART: [f64; 2] = [0.45, 0.8];
const LEAST_AIM: f64 = 0.5;
/// Refusals in a row, and for how long, after which a request is sent on all the same: what is refused by is
/// a guess that only an attempt refutes. The operators bear no node that turns away 15 in 4 s and tries none.
const MOST_REFUSED: usize = 12;
const REFUSED_MS: f64 = 3_000.0;
/// The share of a class's requests that is sent on of late below which it goes by its own aim alone.
const LEAST_TAKEN: f64 = 0.3;
/// How many aims may pass until a busy node comes round in its subset; the least is as many as are asked.
const ROUND: f64 = 4.0;
/// Servers that are asked for their load before a send, where that costs no more of the result than
/// `PROBE_COST` and the answers take no more than `ASK_PART` of a mean aim.
const SAMPLE: usize = 5;
const PROBE_COST: f64 = 0.02;
const ASK_PART: f64 = 0.02;
const LOST_MORE: f64 = 0.2; // Idle connections are closed before use where so much more is lost on them.
const AGAIN: f64 = 0.125; // An overdue attempt is asked after again after this part of a mean aim.
/// Of a list no longer than the first every server is looked at for each request; of a longer one so many
/// that were met, so many that are cold and open to this node, and the next so many of its turn of the ring.
const SCAN: usize = 64;
const LOOK: usize = 24;
const NEXT: usize = 8;
const SPARE: usize = 256; // Lists of attempts kept for the next requests; a busier node makes more anew.
const LARGEST: f64 = 4.0; // Servers are taken to be no larger than so many of the mean.
const WARMING: f64 = 8.0; // How often in the time that a server warms up it is seen how warm all are.
/// A server with so many of ours out and this count at the most has no queue to speak of.
const NO_QUEUE: (usize, f64) = (2, 3.0);
const FEW: usize = 2; // Servers among which the lowest count decides where reports are old.
const TRIALS: f64 = 2.0; // All nodes together try an idle server about this often in a mean aim.
/// The longest wait before a new subscription, as a part of what may pass without; the shortest is a 16th.
const RESUBSCRIBE_MOST: f64 = 0.25;
/// And at the most: a change counts as told 6 s after discovery could be reached, in which a call that
/// was given up, this wait and the next call must be over.
pub const LONGEST_RESUBSCRIBE_MS: f64 = 1_500.0;
/// Spoilt answers, and connections broken under a request, one after another that are no accident.
const SPOILT_ROW: usize = 3;
const BROKEN_ROW: usize = 2;
const COLD_PART: f64 = 0.5; // Of a cold server's budget: sizes are guesses, arrivals come in bunches.
const WAIT_PART: f64 = 0.95; // Part of its time after which a request that still waits is answered.
const EDGE_MS: f64 = 1.0; // The windows of the budget are counted this much on the safe side.

const RESUBSCRIBE: u64 = 0; // The timer for a new subscription; others are a request's id times 8, and kind:
const WAITED: u64 = 1; // a request that waits for its turn is out of time;
const TURN: u64 = 2; // a key has rested;
const ASKED: u64 = 3; // servers that were asked for their load have had their time;
const OVERDUE: u64 = 4; // an attempt takes longer than answers ordinarily do.

/// A server as `pick` sees it.
struct Candidate {
    server: usize,
    /// Expected latency there, and the count in the same unit.
    wait: f64,
    rank: f64,
    untested: bool,
    healthy: bool,
    near: bool,
    met: bool,
    /// Whether nothing has gone wrong there since it last served.
    sound: bool,
    /// It is filled up first, and the part of its capacity that it has: of a server like any other, all.
    cold: bool,
    warmth: f64,
}

/// Decides for one node. See the [crate] page for an example. The default knows no class and fails all.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    random: fastrand::Rng,
    now: f64,
    actions: Vec<Action>,
    servers: BTreeMap<usize, Server>,
    /// The ready servers in one order for all nodes, turned so that this node's subset comes first.
    ring: Vec<usize>,
    subset: usize,
    /// The part of the ready servers' capacity that is there: what is cold has less; when that is seen again.
    warm: f64,
    warmer_at: f64,
    /// Of a long list: the servers met, some perhaps no more; those that are cold, by threshold; how many of
    /// each kind are ready; whom the request at hand may go to.
    met: Vec<usize>,
    cold: Vec<usize>,
    of_kinds: Vec<f64>,
    pool: Vec<usize>,
    /// Room for what is made up anew for each request.
    candidates: Vec<Candidate>,
    paces: Vec<(f64, f64)>,
    spare: Vec<Vec<Attempt>>,
    held: HashMap<RequestId, Held>,
    lanes: HashMap<Box<str>, Lane>,
    /// When keys have rested.
    resting: VecDeque<(f64, Box<str>)>,
    /// When requests were taken and further attempts sent, as far back as the budget looks.
    budget: ResendBudget,
    taken: Recent,
    resent: Recent,
    /// Latency by class, as a multiple of what was expected; pace of all servers and by kind.
    classes: Vec<Mean>,
    /// The share of each class's requests that was sent on, of late.
    sent_on: Vec<Mean>,
    /// Requests refused in a row for want of room, with none sent on, and since when.
    refused: (usize, f64),
    all: Pace,
    kinds: Vec<Pace>,
    /// Mean aim of the classes, the time scale of all judgements, and the half-life of what is learned.
    aim: f64,
    half_life: f64,
    /// Time between requests; whether each server is heard of in an aim.
    gap: Mean,
    last_request: Option<f64>,
    informed: bool,
    /// Whether counts are asked for before each send, and how long the answers take.
    probing: bool,
    asking_takes: Mean,
    /// Share of attempts that got no answer, on connections just used or new and on idle ones.
    lost: [Mean; 2],
    served: Recent,
    subscribed: bool,
    subscribing: bool,
    failed_calls: i32,
}

impl Balancer {
    /// A balancer that knows no server yet. The error names the first setting that makes no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let aim =
            settings.classes.iter().map(|c| c.aim_ms).sum::<f64>() / settings.classes.len() as f64;
        let free = settings.max_attempts as f64;
        let own = ResendBudget {
            free,
            per_request: RETRY_SHARE,
            span_ms: RETRY_SPAN * aim,
        };
        let cheap = SAMPLE as f64 * settings.probe_price <= PROBE_COST;
        Ok(Self {
            random: fastrand::Rng::with_seed(seed),
            subset: SAMPLE,
            budget: settings.resends.unwrap_or(own),
            // Guards against a first answer that decides alone how long a class takes.
            classes: settings
                .classes
                .iter()
                .map(|class| usual_share(class.aim_ms / aim))
                .collect(),
            sent_on: vec![Mean::default(); settings.classes.len()],
            kinds: vec![Pace::default(); settings.kinds],
            of_kinds: vec![0.0; settings.kinds.max(1)],
            half_life: MEMORY * aim,
            probing: settings.probes && settings.reports != Reports::Off && cheap,
            informed: true,
            aim,
            settings,
            ..Self::default()
        })
    }

    /// Takes one event that happened at `now` and appends what is to be done, in that order.
    /// Time never runs backwards between calls. Events about what is not known are passed over.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Servers(listing) => self.listing(listing),
            Event::Request(request) => self.request(request),
            Event::Outcome(outcome) => self.outcome(&outcome),
            Event::ClientGone(id) => self.client_gone(id),
            Event::Timer(RESUBSCRIBE) if std::mem::take(&mut self.subscribing) => {
                self.actions.push(Action::Subscribe);
            }
            Event::Timer(timer) => self.timer(RequestId(timer >> 3), timer & 7),
            Event::Probed {
                server,
                elapsed_ms,
                ending,
                report,
            } => {
                self.probed(
                    server.0,
                    elapsed_ms,
                    report.filter(|_| ending == Ending::Served),
                );
            }
            Event::Hint { server, weight } => {
                if let Some(server) = self.servers.get_mut(&server.0) {
                    server.spared = 1.0 - weight.clamp(0.0, 1.0);
                }
            }
            Event::StreamStarted { .. } => {}
        }
        actions.append(&mut self.actions);
    }

    /// How many servers it keeps in mind.
    #[must_use]
    pub fn servers_known(&self) -> usize {
        self.servers.len()
    }

    /// How many servers of the list it avoids: those that drain and those that are out.
    #[must_use]
    pub fn servers_excluded(&self, now: f64) -> usize {
        let listed = |s: &&Server| s.entry.availability != Availability::Gone;
        self.servers
            .values()
            .filter(listed)
            .filter(|s| !s.is_ready() || s.is_out(now))
            .count()
    }

    fn listing(&mut self, listing: Listing) {
        let (entries, complete) = match listing {
            Listing::Changes(entries) => (entries, false),
            Listing::Full(entries) | Listing::Cached(entries) => (entries, true),
            Listing::Failed if self.subscribing => return,
            Listing::Failed => return self.resubscribe(),
        };
        if std::mem::take(&mut self.failed_calls) > 0 {
            self.actions
                .push(Action::Note("the list of servers comes again".into()));
        }
        let subscribe = self.settings.discovery == Discovery::Subscribe;
        if subscribe && !std::mem::replace(&mut self.subscribed, true) {
            self.actions.push(Action::Subscribe);
        }
        if complete {
            for server in self.servers.values_mut() {
                server.entry.availability = Availability::Gone;
            }
        }
        for entry in entries {
            let at = entry.server.0;
            match self.servers.get_mut(&at) {
                Some(server) if server.entry.started_at == entry.started_at => server.entry = entry,
                old => {
                    // What was learned of a process does not hold for its successor.
                    let (out, threshold) = (old.map_or(0, |old| old.out), self.random.f64());
                    self.servers.insert(
                        at,
                        Server {
                            entry,
                            out,
                            threshold,
                            ..Server::default()
                        },
                    );
                }
            }
        }
        self.servers.retain(|_, server| !server.is_over());
        // Guards against every node connecting to every server. Nodes start evenly along the ring and keep to
        // the first servers from there that may be used; a change of the list moves few of them.
        let ready = self.servers.iter().filter(|(_, server)| server.is_ready());
        let mut ring: Vec<_> = ready
            .map(|(at, server)| (server.entry.place, *at))
            .collect();
        ring.sort_unstable();
        let start = self.settings.me * ring.len() / self.settings.nodes;
        ring.rotate_left(start);
        self.ring = ring.into_iter().map(|(_, at)| at).collect();
        self.index();
    }

    /// Notes how much of the capacity is warm, and what a sample of a long list is drawn from.
    fn index(&mut self) {
        let (long, mut warm, mut cold) = (self.ring.len() > SCAN, 0.0, Vec::new());
        self.warmer_at = f64::INFINITY;
        self.met.clear();
        self.of_kinds.fill(0.0);
        for (at, server) in self.servers.iter().filter(|(_, server)| server.is_ready()) {
            let warmth = warmth(&self.settings, self.now, server);
            warm += warmth.unwrap_or(1.0);
            if warmth.is_some() {
                // Guards against a list that does not change any more while its servers warm up.
                self.warmer_at = self.now + self.settings.cold_ms / WARMING;
            }
            if long {
                let kind = server.entry.kind.min(self.of_kinds.len() - 1);
                self.of_kinds[kind] += 1.0;
                self.met.extend(Some(*at).filter(|_| server.met));
                cold.extend(warmth.map(|_| (server.threshold, *at)));
            }
        }
        self.warm = warm / self.ring.len().max(1) as f64;
        cold.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.cold.clear();
        self.cold.extend(cold.into_iter().map(|(_, at)| at));
    }

    /// Draws from a long list whom a request may go to. As good as all of them: of the servers never met all
    /// but the kind is unknown, so a few stand for all, and `pick` prefers those met; of these, and of the
    /// cold ones, so many have a quick one among them nearly always.
    fn sample(&mut self, pool: &mut Vec<usize>, served: f64) {
        let mut drawn = 0;
        while drawn < LOOK.min(self.met.len()) {
            let other = self.random.usize(drawn..self.met.len());
            self.met.swap(drawn, other);
            let at = self.met[drawn];
            if self.servers.get(&at).is_some_and(|s| s.met && s.is_ready()) {
                pool.push(at);
                drawn += 1;
            } else {
                self.met.swap_remove(drawn);
            }
        }
        // Those met are among the drawn, or there are many of them.
        let unmet = |at: &usize| self.servers.get(at).is_some_and(|s| s.is_ready() && !s.met);
        let budget = LARGEST * self.cold_fill() * served / self.ring.len() as f64;
        let most = budget.max(1.0 / self.settings.nodes as f64);
        let opens = |at: &usize| self.servers.get(at).is_some_and(|s| s.threshold < most);
        let open = self.cold.partition_point(opens);
        let start = self.random.usize(0..open.max(1));
        let from_start = (0..open).map(|i| self.cold[(start + i) % open]);
        pool.extend(from_start.filter(unmet).take(LOOK));
        // Guards against a part of the ring that is out of reach: a node that has met no others looks beyond.
        let next = |at: &usize| unmet(at) && self.servers[at].ejected_until.is_none();
        let before = pool.len();
        pool.extend(self.ring.iter().take(SCAN).copied().filter(next).take(NEXT));
        for _ in pool.len()..before + NEXT {
            let at = self.ring[self.random.usize(0..self.ring.len())];
            if !pool.contains(&at) {
                pool.push(at);
            }
        }
    }

    /// How often a cold server may be sent its share of what this node has served. Where counts are old it is
    /// filled up rather than one among others, so it is what makes such a server as busy as they are.
    fn cold_fill(&self) -> f64 {
        let most = COLD_PART * self.settings.tip_multiple;
        if self.informed {
            most
        } else {
            most.min(1.0)
        }
    }

    /// Guards against a lost subscription: without one the node would send to servers long gone.
    fn resubscribe(&mut self) {
        if self.failed_calls == 0 {
            self.actions
                .push(Action::Note("the list of servers does not come".into()));
        }
        self.subscribing = true;
        let most = (self.settings.ask_within_ms * RESUBSCRIBE_MOST).min(LONGEST_RESUBSCRIBE_MS);
        let after_ms = most / 2_f64.powi(4 - self.failed_calls) * (0.5 + 0.5 * self.random.f64());
        self.failed_calls = (self.failed_calls + 1).min(4);
        self.actions.push(Action::SetTimer {
            timer: RESUBSCRIBE,
            after_ms,
        });
    }

    /// A report overwrites the count of its server alone.
    fn report(&mut self, at: usize, report: Option<Report>) {
        let reading = report.and_then(|r| r.in_flight.or(r.queued));
        if let (Some(server), Some(reading)) = (self.servers.get_mut(&at), reading) {
            server.count = Some(reading);
        }
    }

    /// The server with the lowest count among the eligible, ties broken at random.
    fn pick(&mut self, held: &mut Held, aim: f64) -> Option<usize> {
        let mut candidates = self.candidates(held);
        let least = |c: &[Candidate], of: fn(&Candidate) -> f64| {
            c.iter().map(of).fold(f64::INFINITY, f64::min)
        };
        // Guards against refusals all at once: the fewer requests in half an aim, the less is known.
        let sure = if self.probing {
            0.0
        } else {
            (2.0 * self.gap.mean / self.aim).min(1.0)
        };
        let draw = self.random.f64().powf(sure);
        held.has_room_in(least(&candidates, |c| c.wait) * draw - aim);
        candidates.retain(|c| c.wait * draw <= aim || c.untested || c.cold);
        // Guards against servers whose answers take long of late, whatever they report.
        let bound = least(&candidates, |c| c.wait) * BACKED_UP[usize::from(!self.informed)];
        candidates.retain(|c| self.probing || c.wait * c.warmth <= bound);
        if self.informed {
            // Nodes that keep to their zones are less in each other's way.
            prefer(&mut candidates, |c| c.near);
        } else if !self.probing {
            // Guards against hearing of all too seldom: a node that sees little keeps to servers it met, and
            // to those just started. Guards against a herd: every node reads the same low report, so where
            // reports are old each looks at a few servers only, drawn afresh.
            prefer(&mut candidates, |c| c.met);
            // Guards the warm ones: of servers that it may not fill a node sees one in ten at a time, and if
            // these are not used, all others bear what has been taken from their likes.
            prefer(&mut candidates, |c| c.cold);
            // Guards against servers that by chance are met by more nodes than others: where none is met yet,
            // the ring says which come next.
            if !candidates.iter().any(|c| c.met) {
                prefer(&mut candidates, |c| c.sound);
                candidates.truncate(FEW);
            }
            self.random.shuffle(&mut candidates);
            candidates.truncate(FEW);
        }
        let lowest = least(&candidates, |c| c.rank);
        candidates.retain(|c| c.rank <= lowest);
        let chosen = self.random.choice(&candidates).map(|c| c.server);
        self.candidates = candidates;
        chosen
    }

    /// The subset: the first servers of the ring that the rules allow for this request and that are healthy;
    /// where none is, the first that are not. Of a request that has asked for loads, those that answered.
    fn candidates(&mut self, held: &Held) -> Vec<Candidate> {
        let mut pool = std::mem::take(&mut self.pool);
        pool.clear();
        // A repeat that is bound to a cell or a zone looks at all: a sample may hold none of them.
        let free = held.ran.is_none() || self.settings.classes[held.class].effect.may_be_refused();
        if !self.probing && self.ring.len() > SCAN && free {
            let served = self.served.after(self.now - self.settings.tip_after_ms);
            self.sample(&mut pool, served);
        }
        let (now, half_life, nodes) = (self.now, self.half_life, self.settings.nodes as f64);
        let effect = self.settings.classes[held.class].effect;
        let all = self
            .all
            .or(now, MEMORY * self.aim, (self.aim / 4.0, 1.0), PRIOR);
        let kinds = self.kinds.iter().filter(|_| !self.probing);
        let mut paces = std::mem::take(&mut self.paces);
        paces.clear();
        paces.extend(kinds.map(|k| k.or(now, half_life, all, PRIOR)));
        let kinds = &paces;
        let of_kind = |s: &Server| kinds.get(s.entry.kind).copied().unwrap_or(all);
        let size = |s: &Server| of_kind(s).1 / of_kind(s).0;
        let window = now - self.settings.tip_after_ms;
        let served = self.served.after(window);
        let most = if self.probing {
            self.subset
        } else {
            self.ring.len()
        };
        let whom = if pool.is_empty() { &self.ring } else { &pool };
        let subset = || whom.iter().take(most).filter_map(|at| self.servers.get(at));
        let total: f64 = if pool.is_empty() {
            subset().map(size).sum()
        } else {
            kinds
                .iter()
                .zip(&self.of_kinds)
                .map(|(of, ready)| ready * of.1 / of.0)
                .sum()
        };
        let counts = subset().filter_map(|s| Some(s.count? / size(s)));
        let mean = counts.clone().sum::<f64>() / counts.count().max(1) as f64;
        let cold_fill = self.cold_fill();
        let home = held.ran.map(|first| &held.attempts[first].entry);
        let (mut found, mut candidates) = (0, std::mem::take(&mut self.candidates));
        candidates.clear();
        for at in if held.heard.is_empty() {
            whom
        } else {
            &held.heard
        }
        .iter()
        .copied()
        {
            let Some(server) = self.servers.get_mut(&at).filter(|s| s.is_ready()) else {
                continue;
            };
            if !home.is_none_or(|home| effect.may_move(home, &server.entry)) {
                continue;
            }
            let of = if self.probing {
                all
            } else {
                server.pace.or(now, half_life, of_kind(server), PRIOR)
            };
            let (pace, size) = (of.0 / of.1, size(server));
            let count = *server.count.get_or_insert(mean * size);
            let warmth = warmth(&self.settings, now, server);
            let fills = warmth.is_some() && !self.informed && !self.probing;
            if let Some(warmth) = warmth {
                // Guards a cold server, which looks idle: all nodes keep to its budget, each in step with
                // what it served. Of less than one request the threshold lets some nodes send one.
                let share = warmth * size / total;
                let budget = cold_fill * share * served;
                if server.cold_sends.after(window) + server.threshold >= budget.max(1.0 / nodes) {
                    continue;
                }
            }
            // Guards against servers that turn away one tenant, or class, alone.
            let full = server
                .full_for
                .iter()
                .any(|f| f.0 == held.whom && f.1 > now);
            // Guards against a bad server that each node would have to find out by itself.
            let spared = server.spared > 0.0 && self.random.f64() < server.spared;
            let out = server.is_out(now) || spared;
            // Guards against refusals beside servers that have room: what answers take there is work and the
            // way, no queue. It covers few servers left, a node alone and one just started. It could hurt
            // where servers serve one at a time, or reports are old: so our own out are bounded as well.
            let room = server.out <= NO_QUEUE.0 && count <= NO_QUEUE.1;
            // Guards against refusals without end: all nodes together go on trying an idle server.
            let idle_long = server.out == 0 && now - server.pace.at > self.aim * nodes / TRIALS;
            candidates.push(Candidate {
                server: at,
                wait: if self.probing {
                    count + 1.0
                } else {
                    server.out as f64 + 1.0
                } * pace,
                rank: if self.probing { count } else { count * pace },
                untested: if self.probing {
                    count == 0.0
                } else {
                    self.informed && (room || idle_long)
                },
                healthy: !full && !out,
                near: server.entry.zone == self.settings.zone,
                met: server.met || warmth.is_some(),
                sound: server.ejected_until.is_none(),
                cold: fills,
                warmth: warmth.filter(|_| fills).unwrap_or(1.0),
            });
            found += usize::from(!full && !out);
            if found >= most {
                break;
            }
        }
        prefer(&mut candidates, |c| c.healthy);
        prefer(&mut candidates, |c| {
            held.attempts.iter().all(|a| a.server != c.server)
        });
        candidates.truncate(most);
        (self.pool, self.paces) = (pool, paces);
        candidates
    }

    fn request(&mut self, request: Request) {
        let (id, now) = (request.id, self.now);
        let Some(class) = self.settings.classes.get(request.class) else {
            return self.actions.push(Action::Fail { request: id });
        };
        let held = Held {
            class: request.class,
            whom: if self.settings.quotas_per_s.len() > 1 {
                request.tenant
            } else {
                request.class
            },
            lane: request.item.filter(|_| class.in_order),
            taken_at: now,
            gives_up_at: now + request.budget_ms,
            attempts: self.spare.pop().unwrap_or_default(),
            ..Held::default()
        };
        let last = self.last_request.replace(now);
        self.gap.add(now - last.unwrap_or(now), GAIN / 4.0);
        if self.gap.seen >= 1.0 / GAIN {
            // It does not shrink again, or each swing of the traffic would cost connections.
            self.subset = self.subset.max((ROUND * self.aim / self.gap.mean) as usize);
        }
        let round = self.gap.mean * self.ring.len() as f64;
        self.informed = round <= self.aim;
        self.half_life = round.max(MEMORY * self.aim);
        self.taken.push(now);
        self.spare_resends();
        if now >= self.warmer_at {
            self.index();
        }
        // Guards the order of a key: its later requests wait until all before them are over.
        if let Some(key) = held.lane.clone().filter(|_| !self.too_late(&held)) {
            self.wake_lanes();
            let lane = self.lanes.entry(key).or_default();
            lane.queue.push_back(id);
            let (first, rest) = (lane.queue.len() == 1, lane.rests_until - now);
            if !first || rest > 0.0 {
                self.set(id, WAITED, request.budget_ms * WAIT_PART);
                if first {
                    self.set(id, TURN, rest);
                }
                self.held.insert(id, held);
                return;
            }
        }
        self.place(id, held);
    }

    /// Sends a request, for the first time or again, asks for loads before, or answers it.
    fn place(&mut self, id: RequestId, mut held: Held) {
        if held.answered || self.too_late(&held) || !self.may_repeat(&held) {
            return self.leave(id, held);
        }
        if self.probing && held.asked.is_empty() {
            // Guards against counts that are long out of date when they decide: a node with a request a
            // second hears too seldom of any server. Those that do not answer in time are passed over.
            held.heard.clear();
            let candidates = self.candidates(&held);
            held.asked.extend(candidates.iter().map(|c| c.server));
            self.candidates = candidates;
            self.random.shuffle(&mut held.asked);
            held.asked.truncate(SAMPLE);
            for at in &held.asked {
                self.ask(*at, id);
            }
            if !held.asked.is_empty() {
                self.set(id, ASKED, ASK_PART * self.aim);
                self.held.insert(id, held);
                return;
            }
        }
        let first = held.attempts.is_empty();
        let aim = if first || self.probing {
            self.worthwhile(&held)
        } else {
            f64::INFINITY
        };
        let spare = first || self.spare_resends() >= 1.0;
        let mut server = spare.then(|| self.pick(&mut held, aim)).flatten();
        if first {
            // Guards against a node that turns all away for as long as it takes to forget what it saw.
            let (row, since) = self.refused;
            if server.is_none() && row >= MOST_REFUSED && self.now - since >= REFUSED_MS {
                server = self.pick(&mut held, f64::INFINITY);
            }
            self.refused = match server {
                Some(_) => (0, self.now),
                None => (row + 1, if row == 0 { self.now } else { since }),
            };
            self.sent_on[held.class].add(f64::from(u8::from(server.is_some())), GAIN);
        }
        if let Some(server) = server {
            self.send(id, &mut held, server);
            self.held.insert(id, held);
        } else {
            self.leave(id, held);
        }
    }

    fn ask(&mut self, at: usize, id: RequestId) {
        let server = self.servers.get_mut(&at).expect("listed");
        if server.asked.is_empty() {
            self.actions.push(Action::Probe {
                server: ServerId(at),
            });
        }
        server.asked.push(id);
    }

    fn set(&mut self, id: RequestId, kind: u64, after_ms: f64) {
        self.actions.push(Action::SetTimer {
            timer: id.0 << 3 | kind,
            after_ms,
        });
    }

    fn probed(&mut self, at: usize, elapsed_ms: f64, report: Option<Report>) {
        let Some(server) = self.servers.get_mut(&at) else {
            return;
        };
        let waiting = std::mem::take(&mut server.asked);
        let Some(report) = report else { return };
        self.report(at, Some(report));
        self.asking_takes.add(elapsed_ms, GAIN);
        if self.asking_takes.seen >= 1.0 / GAIN && self.asking_takes.mean > ASK_PART * self.aim {
            self.probing = false; // Its probes wait as requests do: they tell too late.
        }
        for id in waiting {
            let Some(mut held) = self.held.remove(&id) else {
                continue;
            };
            let due = |a: &Attempt| a.expected.max(ASK_PART * self.aim);
            let late = |a: &Attempt| a.open && a.server == at && self.now - a.sent_at >= due(a);
            let overdue = held
                .attempts
                .iter()
                .position(late)
                .filter(|_| self.settings.cancel);
            if held.asked.contains(&at) {
                held.heard.push(at);
                if held.heard.len() == held.asked.len() {
                    self.place(id, held);
                    continue;
                }
            } else if let Some(attempt) = overdue.filter(|_| !held.answered) {
                // Guards against answers that are lost, whatever the cause: it holds nothing, so it will not
                // answer any more, and the connection it came by may be dead.
                if report.in_flight.is_some_and(|n| n < 0.5) {
                    self.actions.push(Action::Cancel {
                        request: id,
                        attempt,
                    });
                    self.actions.push(Action::Close {
                        server: ServerId(at),
                    });
                } else {
                    self.set(id, OVERDUE, self.aim * AGAIN);
                }
            }
            self.held.insert(id, held);
        }
    }

    /// Forgets keys that have rested and that nobody waits for; all rest equally long, so they come in order.
    fn wake_lanes(&mut self) {
        while self
            .resting
            .front()
            .is_some_and(|(until, _)| *until <= self.now)
        {
            let Some((_, key)) = self.resting.pop_front() else {
                return;
            };
            if self
                .lanes
                .get(&key)
                .is_some_and(|l| l.queue.is_empty() && l.rests_until <= self.now)
            {
                self.lanes.remove(&key);
            }
        }
    }

    /// A request is over, with no attempt out: the next one of its key may run.
    fn over(&mut self, id: RequestId, key: Option<&str>) {
        let Some(lane) = key.and_then(|key| self.lanes.get_mut(key)) else {
            return;
        };
        let was = lane.queue.front().copied();
        lane.queue.retain(|waits| *waits != id);
        let rest = lane.rests_until - self.now;
        if lane.queue.is_empty() && rest <= 0.0 {
            self.lanes.remove(key.unwrap_or_default());
            return;
        }
        let Some(next) = lane.queue.front().copied().filter(|_| was == Some(id)) else {
            return;
        };
        if rest > 0.0 {
            return self.set(next, TURN, rest);
        }
        let held = self.held.remove(&next).expect("waits");
        self.place(next, held);
    }

    fn timer(&mut self, id: RequestId, kind: u64) {
        let Some(held) = self.held.remove(&id) else {
            return;
        };
        let lane = held.lane.as_deref().and_then(|key| self.lanes.get(key));
        let turn = lane.is_some_and(|l| l.queue.front() == Some(&id) && l.rests_until <= self.now);
        let (unsent, asking) = (held.attempts.is_empty(), !held.asked.is_empty());
        let overdue = held
            .attempts
            .iter()
            .find(|a| a.open)
            .filter(|_| !held.answered && !asking);
        match kind {
            WAITED if unsent => return self.leave(id, held),
            TURN if unsent && !asking && turn => return self.place(id, held),
            ASKED if asking => return self.place(id, held),
            OVERDUE => overdue.map(|a| self.ask(a.server, id)),
            _ => None,
        };
        self.held.insert(id, held);
    }

    /// Guards the budget of further attempts: how many more it allows.
    fn spare_resends(&mut self) -> f64 {
        let since = self.now - self.budget.span_ms;
        let allowed =
            self.budget.free + self.budget.per_request * self.taken.after(since + EDGE_MS);
        allowed - self.resent.after(since - EDGE_MS)
    }

    /// Guards against overload, in which work that ends too late crowds out work in time: a request is
    /// taken only while its answer is expected within its aim, the less it is worth the sooner not.
    fn worthwhile(&self, held: &Held) -> f64 {
        if self.all.latency.seen == 0.0 {
            return f64::INFINITY; // A node that has heard no answer yet knows nothing to refuse by.
        }
        let density = |k: usize| self.settings.classes[k].worth / self.classes[k].mean;
        let own = density(held.class);
        let best = (0..self.classes.len()).map(density).fold(0.0, f64::max);
        let worth = if best > 0.0 { own / best } else { 1.0 };
        // Guards against queues that grow for as long as a node takes to hear of them: what is cold cannot
        // take its part of the work yet, and the others have it at once.
        let warm = if self.informed || self.probing {
            1.0
        } else {
            self.warm
        };
        let part =
            warm * AIM_PART[usize::from(self.probing)] * (LEAST_AIM + (1.0 - LEAST_AIM) * worth);
        if self.probing {
            let aim = held.taken_at + self.settings.classes[held.class].aim_ms;
            return (aim.min(held.gives_up_at) - self.now) * part;
        }
        // Guards against a class that is starved for its worth by the near aim of another, to no gain.
        let taken = self.sent_on[held.class];
        if taken.seen >= 1.0 / GAIN && taken.mean < LEAST_TAKEN {
            let usual = self.classes[held.class].mean;
            let aim = self.settings.classes[held.class].aim_ms / usual;
            return aim.min(held.gives_up_at - self.now) * warm * AIM_PART[0];
        }
        // A distant aim must not let low worth fill the queues in which worthier classes would be late.
        let worthier = (0..self.classes.len()).filter(|k| *k == held.class || density(*k) > own);
        let aim = |k: usize| self.settings.classes[k].aim_ms / self.classes[k].mean;
        worthier
            .map(aim)
            .fold(held.gives_up_at - self.now, f64::min)
            * part
    }

    fn send(&mut self, id: RequestId, held: &mut Held, at: usize) {
        let server = self.servers.get_mut(&at).expect("picked");
        // Guards against idle connections that are dropped unseen. A few are used, to see when that ends.
        let mut idle = server.met && server.out == 0 && self.now - server.used_at > self.aim;
        if idle && self.lost[1].mean > self.lost[0].mean + LOST_MORE && self.random.f64() > GAIN {
            self.actions.push(Action::Close {
                server: ServerId(at),
            });
            idle = false;
        }
        server.used_at = self.now;
        server.out += 1;
        server.count = server.count.map(|count| count + 1.0);
        if server
            .entry
            .started_at
            .is_some_and(|at| self.now - at < self.settings.cold_ms)
        {
            server.cold_sends.push(self.now);
        }
        if !held.attempts.is_empty() {
            self.resent.push(self.now);
        }
        let depth = server
            .count
            .filter(|_| self.probing)
            .unwrap_or(server.out as f64);
        held.asked.clear();
        // What an answer takes where so many requests are, by what all servers have shown.
        let deep = if self.probing {
            depth / self.all.depth.mean.max(1.0)
        } else {
            1.0
        };
        let expected = self.all.latency.mean * deep;
        let entry = server.entry.clone();
        held.attempts.push(Attempt {
            server: at,
            entry,
            sent_at: self.now,
            depth,
            expected,
            idle,
            open: true,
        });
        held.ran = held.ran.or(Some(held.attempts.len() - 1));
        self.actions.push(Action::Send {
            request: id,
            server: ServerId(at),
        });
        if self.probing && self.settings.cancel && expected > 0.0 && self.may_repeat(held) {
            let usual = self.classes[held.class];
            self.set(id, OVERDUE, (usual.mean + usual.deviation) * expected);
        }
    }

    fn outcome(&mut self, outcome: &Outcome) {
        let (id, tried) = (outcome.request, outcome.attempt);
        let Some(mut held) = self.held.remove(&id) else {
            return;
        };
        if !held.attempts.get(tried).is_some_and(|a| a.open) {
            self.held.insert(id, held);
            return;
        }
        held.attempts[tried].open = false;
        self.report(held.attempts[tried].server, outcome.report);
        self.judge(&held, &held.attempts[tried], outcome);
        let at = held.attempts[tried].server;
        if self.servers.get(&at).is_some_and(Server::is_over) {
            self.servers.remove(&at);
        }
        if held.ran == Some(tried) && !outcome.ending.may_have_run() {
            held.ran = None;
        }
        let may_run = matches!(
            outcome.ending,
            Ending::TimedOut | Ending::Reset | Ending::Cancelled
        );
        if let Some(lane) = held
            .lane
            .as_deref()
            .filter(|_| may_run)
            .and_then(|key| self.lanes.get_mut(key))
        {
            lane.rests_until = self.now + self.settings.key_quiet_ms;
            self.resting
                .extend(held.lane.clone().map(|key| (lane.rests_until, key)));
        }
        held.answered |= outcome.complete;
        self.place(id, held);
    }

    /// Guards against answers after the client's time: what remains must do for asking and for the answer.
    fn too_late(&self, held: &Held) -> bool {
        let asking = if self.probing {
            3.0 * ASK_PART * self.aim
        } else {
            0.0
        };
        self.now + asking >= held.gives_up_at
    }

    /// Whether its class and what has been tried allow an attempt, once none is out.
    fn may_repeat(&self, held: &Held) -> bool {
        let first = held.ran.map(|i| held.attempts[i].sent_at);
        let allowed = match (first, self.settings.classes[held.class].effect) {
            (None, _) | (_, Effect::Safe) => true,
            (Some(sent), Effect::Keyed { window_ms, .. }) => {
                self.now - sent < window_ms * WINDOW_PART
            }
            (Some(_), Effect::Unsafe) => false,
        };
        allowed && held.attempts.len() < self.settings.max_attempts
    }

    /// Gives the final answer, if one is owed and no attempt is out: a refusal only where it promises nothing
    /// false. Then the next request of the key may run.
    fn leave(&mut self, request: RequestId, mut held: Held) {
        held.asked.clear();
        if held.attempts.iter().any(|a| a.open) {
            self.held.insert(request, held);
            return;
        }
        let harmless =
            held.ran.is_none() || self.settings.classes[held.class].effect.may_be_refused();
        match (held.answered, harmless) {
            (true, _) => {}
            (false, true) => self.actions.push(Action::Refuse {
                request,
                after_ms: held.room_in,
            }),
            (false, false) => self.actions.push(Action::Fail { request }),
        }
        self.over(request, held.lane.as_deref());
        if self.spare.len() < SPARE {
            held.attempts.clear();
            self.spare.push(held.attempts);
        }
    }

    fn client_gone(&mut self, request: RequestId) {
        let Some(mut held) = self.held.remove(&request) else {
            return;
        };
        held.answered = true;
        if self.settings.cancel {
            let open = held.attempts.iter().enumerate().filter(|(_, a)| a.open);
            self.actions
                .extend(open.map(|(attempt, _)| Action::Cancel { request, attempt }));
        }
        self.leave(request, held);
    }

    fn judge(&mut self, held: &Held, attempt: &Attempt, outcome: &Outcome) {
        // No answer takes no time: what others take is measured in it.
        let (at, depth, elapsed) = (attempt.server, attempt.depth, outcome.elapsed_ms.max(0.001));
        let (now, half_life, class, whom) = (self.now, self.half_life, held.class, held.whom);
        let (usual, expected) = (self.classes[class], attempt.expected);
        let server = self.servers.get_mut(&at).expect("sent to");
        server.out = server.out.saturating_sub(1);
        server.used_at = now;
        if !held.answered {
            let lost = matches!(outcome.ending, Ending::TimedOut | Ending::Cancelled);
            self.lost[usize::from(attempt.idle)].add(f64::from(u8::from(lost)), GAIN);
        }
        server.spoilt = if outcome.ending == Ending::Spoilt {
            server.spoilt + 1
        } else {
            0
        };
        server.broken = if outcome.ending == Ending::Reset {
            server.broken + 1
        } else {
            0
        };
        // Guards against taking a connection that fell silent for a server that hangs or is crowded: that one
        // has answered what was sent later.
        let overtaken = server.answered_sent_at > attempt.sent_at;
        let failed = match outcome.ending {
            Ending::Served => false,
            // Guards against taking out good servers for what any of them, or the way to it, does at times.
            Ending::Spoilt => server.spoilt >= SPOILT_ROW,
            Ending::Reset => server.broken >= BROKEN_ROW,
            // A time-out shorter than an answer may ordinarily take says nothing of the server.
            Ending::TimedOut => {
                !overtaken && elapsed >= (usual.mean + DEVIATIONS * usual.deviation) * expected
            }
            Ending::Error | Ending::Unreachable => true,
            Ending::Full => {
                server.full_for.retain(|f| f.0 != whom);
                server.full_for.push((whom, now + EJECT * self.aim));
                false
            }
            Ending::Cancelled | Ending::NotSent | Ending::Rejected => return,
        };
        // Where counts are fresh a time-out tells of the answer, not of the load.
        let late = outcome.ending == Ending::TimedOut && !self.probing && !overtaken;
        if outcome.ending == Ending::Served || late {
            // Guards against shares of a mean that a few answers make up: many times too large, they stay for
            // as long as it takes to forget them, and all is refused meanwhile.
            if expected > 0.0 && self.all.seen(now, MEMORY * self.aim) >= 1.0 / GAIN {
                self.classes[class].add(elapsed / expected, GAIN / 4.0);
            }
            self.all
                .add(now, MEMORY * self.aim, elapsed, depth, GAIN / 4.0);
            server
                .pace
                .add(now, half_life, elapsed / usual.mean, depth, GAIN);
            if let Some(kind) = self.kinds.get_mut(server.entry.kind) {
                kind.add(now, half_life, elapsed / usual.mean, depth, GAIN / 4.0);
            }
        }
        let met = !matches!(outcome.ending, Ending::Unreachable | Ending::Reset);
        if !std::mem::replace(&mut server.met, met) && met && !self.met.contains(&at) {
            self.met.push(at);
        }
        if outcome.ending == Ending::Served {
            self.served.push(now);
            server.answered_sent_at = server.answered_sent_at.max(attempt.sent_at);
            if server.ejected_until.take().is_some() {
                self.actions
                    .push(Action::Note(format!("server {at} is back")));
            }
        } else if failed && server.ejected_until.is_none_or(|until| until <= now) {
            // Guards against servers that fail quickly, hang or cannot be reached: counts alone favour them.
            if server
                .ejected_until
                .replace(now + EJECT * self.aim)
                .is_none()
            {
                self.actions
                    .push(Action::Note(format!("server {at} is taken out")));
            }
        }
    }
}

/// The part of its capacity that a server has at least while it is cold.
fn warmth(settings: &Settings, now: f64, server: &Server) -> Option<f64> {
    let (from, age) = (settings.cold_from, now - server.entry.started_at?);
    (age < settings.cold_ms).then(|| from + (1.0 - from) * (age / settings.cold_ms).max(0.0))
}

/// How long a class takes beside the others before answers show it, with the weight of as many as a mean
/// goes by: half of an answer's time is taken to be its own work, in proportion to its aim, and half what all
/// of them wait.
fn usual_share(aim: f64) -> Mean {
    Mean {
        mean: f64::midpoint(1.0, aim),
        deviation: 1.0,
        seen: 1.0 / GAIN,
    }
}

/// Leaves those that fit, if there are any.
fn prefer(candidates: &mut Vec<Candidate>, fits: impl Fn(&Candidate) -> bool) {
    if candidates.iter().any(&fits) {
        candidates.retain(fits);
    }
}
