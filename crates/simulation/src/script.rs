//! Troubles: a script of them prints as text and plays again from it, or is drawn from a seed.

use std::fmt;
use std::str::FromStr;

use fastrand::Rng;

use crate::link::Link;
use crate::NodeId;

/// Something that goes wrong, or is mended.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// Nothing passes from one node to another.
    Cut {
        /// From here,
        from: NodeId,
        /// to there.
        to: NodeId,
    },
    /// It does again.
    Mend {
        /// From here,
        from: NodeId,
        /// to there.
        to: NodeId,
    },
    /// What a link is from now on.
    Link {
        /// From here,
        from: NodeId,
        /// to there.
        to: NodeId,
        /// So.
        link: Link,
    },
    /// What all links are from now on.
    All {
        /// So.
        link: Link,
    },
    /// All links are good again.
    HealAll,
    /// A process stands still.
    Pause {
        /// Which.
        node: NodeId,
        /// For how long, in milliseconds.
        ms: f64,
    },
    /// A process is killed.
    Kill {
        /// Which.
        node: NodeId,
    },
    /// A process is started, again or at first.
    Start {
        /// Which.
        node: NodeId,
    },
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let link = |f: &mut fmt::Formatter<'_>, link: &Link| {
            let Link {
                cut,
                loss,
                burst,
                delay_ms,
                jitter_ms,
                twice,
                corrupt,
                replay,
            } = link;
            let cut = u8::from(*cut);
            let (often, long) = burst;
            write!(
                f,
                "{cut} {loss} {often} {long} {delay_ms} {jitter_ms} {twice} {corrupt} {replay}"
            )
        };
        match self {
            Self::Cut { from, to } => write!(f, "cut {from} {to}"),
            Self::Mend { from, to } => write!(f, "mend {from} {to}"),
            Self::Link {
                from,
                to,
                link: held,
            } => {
                write!(f, "link {from} {to} ")?;
                link(f, held)
            }
            Self::All { link: held } => {
                write!(f, "all ")?;
                link(f, held)
            }
            Self::HealAll => write!(f, "heal"),
            Self::Pause { node, ms } => write!(f, "pause {node} {ms}"),
            Self::Kill { node } => write!(f, "kill {node}"),
            Self::Start { node } => write!(f, "start {node}"),
        }
    }
}

impl FromStr for Trouble {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut words = text.split_whitespace();
        let what = words.next().unwrap_or_default();
        let figures: Vec<f64> = words
            .map(str::parse)
            .collect::<Result<_, _>>()
            .map_err(|_| text.to_owned())?;
        let node = |at: usize| {
            figures
                .get(at)
                .map(|figure| *figure as NodeId)
                .ok_or_else(|| text.to_owned())
        };
        let link = |at: usize| match figures.get(at..) {
            Some([cut, loss, often, long, delay_ms, jitter_ms, twice, corrupt, replay]) => {
                Ok(Link {
                    cut: *cut > 0.0,
                    loss: *loss,
                    burst: (*often, *long),
                    delay_ms: *delay_ms,
                    jitter_ms: *jitter_ms,
                    twice: *twice,
                    corrupt: *corrupt,
                    replay: *replay,
                })
            }
            _ => Err(text.to_owned()),
        };
        Ok(match what {
            "cut" => Self::Cut {
                from: node(0)?,
                to: node(1)?,
            },
            "mend" => Self::Mend {
                from: node(0)?,
                to: node(1)?,
            },
            "link" => Self::Link {
                from: node(0)?,
                to: node(1)?,
                link: link(2)?,
            },
            "all" => Self::All { link: link(0)? },
            "heal" => Self::HealAll,
            "pause" => Self::Pause {
                node: node(0)?,
                ms: *figures.get(1).ok_or_else(|| text.to_owned())?,
            },
            "kill" => Self::Kill { node: node(0)? },
            "start" => Self::Start { node: node(0)? },
            _ => return Err(text.to_owned()),
        })
    }
}

/// Troubles with their times, in milliseconds of the world, in their order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<(f64, Trouble)>);

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|(at, trouble)| writeln!(f, "{at} {trouble}"))
    }
}

impl FromStr for Script {
    type Err = String;

    /// Reads what [`Display`](fmt::Display) writes; empty lines and what follows a `#` are passed over.
    fn from_str(text: &str) -> Result<Self, String> {
        let lines = text
            .lines()
            .map(|line| line.split('#').next().unwrap_or_default().trim());
        let read = |line: &str| {
            let (at, trouble) = line.split_once(' ').ok_or_else(|| line.to_owned())?;
            Ok((at.parse().map_err(|_| line.to_owned())?, trouble.parse()?))
        };
        lines
            .filter(|line| !line.is_empty())
            .map(read)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

/// Within what troubles are drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Nodes.
    pub nodes: usize,
    /// From when to when they come, in milliseconds. By the end everything is mended, and every process runs.
    pub from_ms: f64,
    /// See there.
    pub until_ms: f64,
    /// How many.
    pub troubles: usize,
    /// The longest pause, in milliseconds.
    pub pause_ms: f64,
    /// The most that is lost on all links.
    pub loss: f64,
}

/// Draws a script from a seed.
#[must_use]
pub fn draw(seed: u64, bounds: Bounds) -> Script {
    let mut rng = Rng::with_seed(seed);
    let mut script = Vec::new();
    let span = bounds.until_ms - bounds.from_ms;
    for _ in 0..bounds.troubles {
        let begin = bounds.from_ms + rng.f64() * span * 0.8;
        let end = begin + rng.f64() * (bounds.until_ms - begin);
        let node = rng.usize(..bounds.nodes);
        let other = (node + 1 + rng.usize(..bounds.nodes - 1)) % bounds.nodes;
        let round = |at: f64| at.round();
        let (begin, end) = (round(begin), round(end));
        let mut say = |at, trouble| script.push((at, trouble));
        match rng.u32(..9) {
            0 | 1 => say(
                begin,
                Trouble::Pause {
                    node,
                    ms: (rng.f64() * bounds.pause_ms).round(),
                },
            ),
            2 => {
                say(begin, Trouble::Kill { node });
                say(end, Trouble::Start { node });
            }
            3 => {
                say(
                    begin,
                    Trouble::Cut {
                        from: node,
                        to: other,
                    },
                );
                say(
                    end,
                    Trouble::Mend {
                        from: node,
                        to: other,
                    },
                );
            }
            4 => {
                let deaf = rng.bool();
                for peer in (0..bounds.nodes).filter(|peer| *peer != node) {
                    let (from, to) = if deaf { (peer, node) } else { (node, peer) };
                    say(begin, Trouble::Cut { from, to });
                    say(end, Trouble::Mend { from, to });
                }
            }
            5 => {
                let side: Vec<bool> = (0..bounds.nodes).map(|_| rng.bool()).collect();
                for from in 0..bounds.nodes {
                    for to in (0..bounds.nodes).filter(|to| side[from] != side[*to]) {
                        say(begin, Trouble::Cut { from, to });
                        say(end, Trouble::Mend { from, to });
                    }
                }
            }
            6 => {
                let link = Link {
                    loss: rng.f64() * bounds.loss,
                    ..Link::default()
                };
                say(begin, Trouble::All { link });
                say(end, Trouble::HealAll);
            }
            7 => {
                let link = Link {
                    delay_ms: rng.f64() * 300.0,
                    jitter_ms: rng.f64() * 2_000.0,
                    twice: rng.f64() * 0.3,
                    corrupt: rng.f64() * 0.1,
                    replay: rng.f64() * 0.3,
                    ..Link::default()
                };
                say(begin, Trouble::All { link });
                say(end, Trouble::HealAll);
            }
            _ => {
                for node in (0..bounds.nodes)
                    .filter(|_| rng.u32(..3) == 0)
                    .collect::<Vec<_>>()
                {
                    say(
                        begin,
                        Trouble::Pause {
                            node,
                            ms: (rng.f64() * bounds.pause_ms).round(),
                        },
                    );
                }
            }
        }
    }
    script.push((bounds.until_ms, Trouble::HealAll));
    script.extend((0..bounds.nodes).map(|node| (bounds.until_ms, Trouble::Start { node })));
    script.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    Script(script)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a failure that cannot be played again.
    #[test]
    fn a_script_is_read_as_it_is_written() {
        for seed in 0..200 {
            let bounds = Bounds {
                nodes: 2 + seed as usize % 9,
                from_ms: 1_000.0,
                until_ms: 60_000.0,
                troubles: 12,
                pause_ms: 10_000.0,
                loss: 0.5,
            };
            let script = draw(seed, bounds);
            assert_eq!(script.to_string().parse(), Ok(script.clone()));
            assert_eq!(draw(seed, bounds), script, "the same seed draws the same");
        }
        assert!("100 explode 3".parse::<Script>().is_err());
    }
}
