//! The course of a drain: a node that serves on while its clients go elsewhere, and may take them back.

/// How long answers go out as ever after the call: a front that asks ten times a second deals out new connections for
/// a while after the first no, and a client that were sent away at once would come straight back.
pub const LAST_ANSWER_MS: f64 = 400.0;
/// When the connections that stand between requests are ended, too. By then the clients that ask at all have had their
/// last answer; 2 s after the call nothing may be taken on an old connection any more, and some of that is kept in hand.
pub const LEAVE_MS: f64 = 1_400.0;

/// How long a connection may stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stay {
    /// As long as it likes.
    Any,
    /// For one more answer.
    OneMore,
    /// For the answer that it waits for, if it waits for one.
    Leave,
}

/// Where a drain is. The default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Drain {
    since_ms: Option<f64>,
}

impl Drain {
    /// Clients are to be sent away. One that is under way goes on: a second word of it does not begin it anew.
    pub fn begin(&mut self, now_ms: f64) {
        self.since_ms.get_or_insert(now_ms);
    }

    /// Clients are taken again.
    pub fn end(&mut self) {
        self.since_ms = None;
    }

    /// Whether new clients are wanted.
    #[must_use]
    pub fn admits(&self) -> bool {
        self.since_ms.is_none()
    }

    /// How long a client's connection may stay.
    #[must_use]
    pub fn stay(&self, now_ms: f64) -> Stay {
        match self.since_ms.map(|since| now_ms - since) {
            None => Stay::Any,
            Some(passed) if passed < LAST_ANSWER_MS => Stay::Any,
            Some(passed) if passed < LEAVE_MS => Stay::OneMore,
            Some(_) => Stay::Leave,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_drain_has_its_course_and_an_end() {
        let mut drain = Drain::default();
        assert_eq!((drain.admits(), drain.stay(1e12)), (true, Stay::Any));
        drain.begin(50.0);
        assert_eq!((drain.admits(), drain.stay(50.0)), (false, Stay::Any));
        assert_eq!(drain.stay(50.0 + LAST_ANSWER_MS), Stay::OneMore);
        drain.begin(50.0 + LAST_ANSWER_MS);
        assert_eq!(
            drain.stay(50.0 + LEAVE_MS),
            Stay::Leave,
            "a second word does not begin it anew"
        );
        drain.end();
        assert_eq!(
            (drain.admits(), drain.stay(50.0 + LEAVE_MS)),
            (true, Stay::Any)
        );
    }

    proptest! {
        /// Guards the order: no connection that was told to leave is held again in the same drain.
        #[test]
        fn connections_are_never_held_longer_again(at in 0.0..1e13, mut passed in proptest::collection::vec(0.0..5e3, 1..20)) {
            let mut drain = Drain::default();
            drain.begin(at);
            passed.sort_by(f64::total_cmp);
            let stays: Vec<_> = passed.iter().map(|p| drain.stay(at + p)).collect();
            prop_assert!(stays.is_sorted());
            prop_assert_eq!(drain.stay(at + 2_000.0), Stay::Leave, "all are on their way out within 2 s");
        }
    }
}
