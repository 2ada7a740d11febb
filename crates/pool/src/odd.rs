//! Servers that bring bytes unasked.

/// How long a connection is left alone after an answer of a server that has brought bytes unasked: those come right
/// behind an answer. A longer rest costs more than it shows.
const REST_MS: f64 = 5.0;
/// In this time half of the times are forgotten. Of one, too little to rest for is left after two minutes; of many,
/// after five.
const HALF_LIFE_MS: f64 = 60_000.0;
const LEAST: f64 = 0.25;
const MOST: f64 = 8.0;

/// How often a server has brought bytes unasked of late. Guards against bytes that are taken for the answer to the
/// next request. Who has never done it is not waited for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Oddness {
    score: f64,
    at: f64,
}

impl Oddness {
    fn score(&self, now: f64) -> f64 {
        self.score * (-(now - self.at).max(0.0) / HALF_LIFE_MS).exp2()
    }

    /// It has done it again.
    pub fn note(&mut self, now: f64) {
        (self.score, self.at) = ((self.score(now) + 1.0).min(MOST), now);
    }

    /// How long a connection is left alone after an answer.
    #[must_use]
    pub fn rest_ms(&self, now: f64) -> f64 {
        if self.score == 0.0 {
            return 0.0;
        }
        if self.score(now) < LEAST {
            0.0
        } else {
            REST_MS
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a wait that every request pays, and against none for a server that needs one.
    #[test]
    fn a_rest_is_for_servers_that_brought_bytes_unasked_and_it_fades() {
        let mut odd = Oddness::default();
        assert_eq!(odd.rest_ms(1e9).to_bits(), 0);
        let rests_for = |odd: &Oddness| {
            (0..1_000)
                .map(f64::from)
                .find(|s| odd.rest_ms(1e9 + s * 1e3) < REST_MS)
                .expect("it fades")
        };
        odd.note(1e9);
        assert!((odd.rest_ms(1e9) - REST_MS).abs() < 1e-9);
        let once = rests_for(&odd);
        (0..100).for_each(|_| odd.note(1e9));
        let often = rests_for(&odd);
        assert!(
            once >= 60.0 && often > once && often < 4.0 * once,
            "{once}, {often}"
        );
    }
}
