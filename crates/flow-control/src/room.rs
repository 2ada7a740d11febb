//! Memory that messages share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;

/// Room for so many bytes. Guards the limit on memory: messages of ordinary number could fill it if each is long.
#[derive(Clone, Debug)]
pub struct Room(Arc<AtomicUsize>);

impl Room {
    /// Room for so many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Takes so many bytes until the share is dropped, if there are as many.
    #[must_use]
    pub fn take(&self, bytes: usize) -> Option<Share> {
        let less = |left: usize| left.checked_sub(bytes);
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less)
            .ok()?;
        Some(Share {
            room: self.clone(),
            bytes,
        })
    }

    /// How many bytes are left.
    #[must_use]
    pub fn left(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// A part of the room.
#[derive(Debug)]
pub struct Share {
    room: Room,
    bytes: usize,
}

impl Share {
    /// How many bytes it is.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes more; `false`: there is no more, and it stays as it was.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some(mut more) = self.room.take(bytes) else {
            return false;
        };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }

    /// The body, which keeps its share for as long as any part of it is held.
    #[must_use]
    pub fn hold(self, body: Bytes) -> Bytes {
        Bytes::from_owner(Held { body, _share: self })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.room.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

struct Held {
    body: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Guards against long messages that fill the memory, and against room that is not given back.
    #[test]
    fn messages_are_held_while_there_is_room() {
        let room = Room::new(100);
        let first = room.take(60).expect("room");
        assert!(room.take(60).is_none());
        let body = first.hold(Bytes::from_static(b"yes"));
        let part = body.slice(1..);
        drop(body);
        assert!(room.take(60).is_none(), "a part is held yet");
        assert_eq!(part, "es");
        drop(part);
        assert!(room.take(100).is_some());
    }

    proptest! {
        /// Guards the sum: what is held and what is left is the whole, in every order.
        #[test]
        fn nothing_is_lost_and_nothing_is_held_twice(steps in proptest::collection::vec((0..3_u8, 0..50_usize, any::<usize>()), 0..100)) {
            let room = Room::new(200);
            let mut shares: Vec<Share> = Vec::new();
            for (step, bytes, which) in steps {
                match (step, shares.len()) {
                    (0, _) | (_, 0) => shares.extend(room.take(bytes)),
                    (1, n) => {
                        let _ = shares[which % n].grow(bytes);
                    }
                    (_, n) => drop(shares.swap_remove(which % n)),
                }
                let held: usize = shares.iter().map(Share::bytes).sum();
                prop_assert_eq!(room.left() + held, 200);
            }
        }
    }
}
