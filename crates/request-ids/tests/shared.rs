//! A bucket that several processes use, and the layout of the table that it belongs to.

use std::collections::HashMap;

use request_ids::{
    Bucket, HashKey, Header, HeaderError, IdHash, Layout, OwnerId, RepeatPolicy, RequestEnd,
    ReserveError, SlotIndex, BUCKET_BYTES, BUCKET_SLOTS, HEADER_BYTES, RETENTION_MS,
};

const KEY: HashKey = HashKey([3, 4]);
const SEQUENCES: u64 = 10_000;
const STEPS: usize = 60;
const PROCESSES: u16 = 3;
const IDS: u8 = 6;

fn id(number: usize) -> IdHash {
    KEY.hash(number.to_string().as_bytes())
}

fn empty_bucket() -> Bucket {
    Bucket::new([0; BUCKET_BYTES])
}

fn run_once(
    bucket: &mut Bucket,
    id: IdHash,
    owner: u16,
    now_ms: u64,
    running: &[u16],
) -> Result<SlotIndex, ReserveError> {
    let is_running = |owner: OwnerId| running.contains(&owner.0);
    bucket.reserve(
        id,
        OwnerId(owner),
        RepeatPolicy::RunOnce,
        now_ms,
        is_running,
    )
}

#[test]
fn id_that_was_open_at_a_process_that_ended_is_retained() {
    let mut bucket = empty_bucket();
    run_once(&mut bucket, id(1), 0, 0, &[0]).expect("the id is new");
    let noticed_at_ms = 1_000_000;
    let in_use = Err(ReserveError::InUse);
    assert_eq!(run_once(&mut bucket, id(1), 1, noticed_at_ms, &[1]), in_use);
    let expires_at_ms = noticed_at_ms + RETENTION_MS;
    assert_eq!(
        run_once(&mut bucket, id(1), 1, expires_at_ms - 1, &[1]),
        in_use
    );
    assert!(run_once(&mut bucket, id(1), 1, expires_at_ms, &[1]).is_ok());
}

#[test]
fn repeatable_id_that_was_open_at_a_process_that_ended_is_free() {
    let mut bucket = empty_bucket();
    let reserve = |bucket: &mut Bucket, owner, running: bool| {
        bucket.reserve(id(1), OwnerId(owner), RepeatPolicy::Repeatable, 0, |_| {
            running
        })
    };
    reserve(&mut bucket, 0, true).expect("the id is new");
    assert_eq!(reserve(&mut bucket, 1, true), Err(ReserveError::InUse));
    assert!(reserve(&mut bucket, 1, false).is_ok());
}

/// Guards against dropping retained ids in favor of new ones.
#[test]
fn full_bucket_refuses_new_ids_until_retained_ones_expire() {
    let mut bucket = empty_bucket();
    for number in 0..BUCKET_SLOTS {
        let slot = run_once(&mut bucket, id(number), 0, 0, &[0]).expect("the bucket is not full");
        bucket.end(slot, id(number), RequestEnd::MayHaveRun, 0);
    }
    let newcomer = id(BUCKET_SLOTS);
    let reserved = run_once(&mut bucket, newcomer, 0, RETENTION_MS - 1, &[0]);
    assert_eq!(reserved, Err(ReserveError::Full));
    for number in 0..BUCKET_SLOTS {
        let reserved = run_once(&mut bucket, id(number), 0, RETENTION_MS - 1, &[0]);
        assert_eq!(reserved, Err(ReserveError::InUse));
    }
    assert!(run_once(&mut bucket, newcomer, 0, RETENTION_MS, &[0]).is_ok());
}

#[test]
fn slot_of_a_repeatable_request_of_an_ended_process_is_reused() {
    let mut bucket = empty_bucket();
    for number in 0..BUCKET_SLOTS {
        let policy = if number == 7 {
            RepeatPolicy::Repeatable
        } else {
            RepeatPolicy::RunOnce
        };
        bucket
            .reserve(id(number), OwnerId(0), policy, 0, |_| true)
            .expect("the bucket is not full");
    }
    let newcomer = id(BUCKET_SLOTS);
    let reserved = run_once(&mut bucket, newcomer, 1, 1, &[0, 1]);
    assert_eq!(reserved, Err(ReserveError::Full));
    assert!(run_once(&mut bucket, newcomer, 1, 1, &[1]).is_ok());
    let reserved = run_once(&mut bucket, id(BUCKET_SLOTS + 1), 1, 2, &[1]);
    assert_eq!(reserved, Err(ReserveError::Full));
    assert!(run_once(&mut bucket, id(BUCKET_SLOTS + 1), 1, 1 + RETENTION_MS, &[1]).is_ok());
}

#[test]
fn end_of_a_request_whose_slot_another_id_has_changes_nothing() {
    let mut bucket = empty_bucket();
    let slot = run_once(&mut bucket, id(1), 0, 0, &[0]).expect("the id is new");
    bucket.end(slot, id(2), RequestEnd::Released, 0);
    let reserved = run_once(&mut bucket, id(1), 0, 0, &[0]);
    assert_eq!(reserved, Err(ReserveError::InUse));
}

/// Guards against bytes from elsewhere that are taken for free slots, or that cause a panic.
#[test]
fn bucket_of_any_bytes_is_used_without_panic() {
    let mut random = fastrand::Rng::with_seed(73);
    for _ in 0..200 {
        let mut bytes = [0; BUCKET_BYTES];
        random.fill(&mut bytes);
        let mut bucket = Bucket::new(bytes);
        let now_ms = random.u64(..);
        let reserved = bucket.reserve(id(1), OwnerId(0), RepeatPolicy::RunOnce, now_ms, |_| {
            random.clone().bool()
        });
        if let Ok(slot) = reserved {
            bucket.end(slot, id(1), RequestEnd::MayHaveRun, now_ms);
        }
    }
}

#[test]
fn only_changed_bytes_are_written() {
    let mut bucket = empty_bucket();
    assert!(bucket.changed().1.is_empty());
    let first = run_once(&mut bucket, id(1), 0, 0, &[0]).expect("the id is new");
    let (start, bytes) = bucket.changed();
    assert_eq!((start, bytes.len()), (0, BUCKET_BYTES / BUCKET_SLOTS));
    run_once(&mut bucket, id(2), 0, 0, &[0]).expect("the id is new");
    bucket.end(first, id(1), RequestEnd::Released, 0);
    let (start, bytes) = bucket.changed();
    assert_eq!((start, bytes.len()), (0, 2 * BUCKET_BYTES / BUCKET_SLOTS));
}

#[test]
fn header_is_decoded_only_if_it_fits_its_file() {
    let layout = Layout::within(1 << 20);
    assert!(layout.file_bytes() <= 1 << 20);
    let mut header = Header::new(layout, KEY);
    assert_eq!(header.take_owner(), OwnerId(0));
    assert_eq!(header.take_owner(), OwnerId(1));
    let bytes = header.encode();
    assert_eq!(Header::decode(&bytes, layout.file_bytes()), Ok(header));
    let other_length = layout.file_bytes() + BUCKET_BYTES as u64;
    assert_eq!(
        Header::decode(&bytes, other_length),
        Err(HeaderError::InvalidLength)
    );
    assert_eq!(
        Header::decode(&[0; HEADER_BYTES], layout.file_bytes()),
        Err(HeaderError::NotATable)
    );
    let mut newer = bytes;
    newer[8] = 2;
    assert_eq!(
        Header::decode(&newer, layout.file_bytes()),
        Err(HeaderError::UnknownVersion(2))
    );
    for number in 0..1_000 {
        let offset = layout.bucket_offset(id(number));
        assert!(offset >= HEADER_BYTES as u64);
        assert!(offset + BUCKET_BYTES as u64 <= layout.file_bytes());
    }
}

/// Expected state of an id after a sequence of events.
#[derive(Clone, Copy, Debug, Default)]
struct Expected {
    /// The process at which it is open, and whether it may run only once.
    open: Option<(u16, RepeatPolicy)>,
    /// From when on it may be reserved again.
    free_at_ms: u64,
}

/// Processes that use a bucket, and the expected state of each id.
struct Trial {
    bucket: Bucket,
    random: fastrand::Rng,
    now_ms: u64,
    running: Vec<u16>,
    next_process: u16,
    open: Vec<(u16, IdHash, SlotIndex)>,
    expected: HashMap<u64, Expected>,
}

impl Trial {
    fn new(seed: u64) -> Self {
        Self {
            bucket: empty_bucket(),
            random: fastrand::Rng::with_seed(seed),
            now_ms: 1,
            running: (0..PROCESSES).collect(),
            next_process: PROCESSES,
            open: Vec::new(),
            expected: HashMap::new(),
        }
    }

    fn step(&mut self) {
        match self.random.u8(..10) {
            0..=4 => self.reserve(),
            5..=7 => self.end(),
            8 => self.now_ms += self.random.u64(1..RETENTION_MS / 2),
            _ => self.replace_process(),
        }
    }

    fn reserve(&mut self) {
        let process = self.running[self.random.usize(..self.running.len())];
        let id = KEY.hash(&[self.random.u8(..IDS)]);
        let policy = if self.random.bool() {
            RepeatPolicy::RunOnce
        } else {
            RepeatPolicy::Repeatable
        };
        let running = &self.running;
        let is_running = |owner: OwnerId| running.contains(&owner.0);
        let reserved = self
            .bucket
            .reserve(id, OwnerId(process), policy, self.now_ms, is_running);
        let expected = self.expected.entry(id.value()).or_default();
        // The first process that finds an id open at one that has ended retains it from then on.
        if let Some((owner, policy)) = expected.open.filter(|(owner, _)| !running.contains(owner)) {
            assert!(!running.contains(&owner));
            if policy == RepeatPolicy::RunOnce {
                expected.free_at_ms = self.now_ms + RETENTION_MS;
            }
            expected.open = None;
        }
        let is_free = expected.open.is_none() && expected.free_at_ms <= self.now_ms;
        assert_eq!(reserved.is_ok(), is_free, "{reserved:?}, {expected:?}");
        if let Ok(slot) = reserved {
            expected.open = Some((process, policy));
            self.open.push((process, id, slot));
        }
    }

    fn end(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let (process, id, slot) = self.open.swap_remove(self.random.usize(..self.open.len()));
        let expected = self.expected.entry(id.value()).or_default();
        assert_eq!(expected.open.map(|(owner, _)| owner), Some(process));
        expected.open = None;
        let end = if self.random.bool() {
            expected.free_at_ms = self.now_ms + RETENTION_MS;
            RequestEnd::MayHaveRun
        } else {
            RequestEnd::Released
        };
        self.bucket.end(slot, id, end, self.now_ms);
    }

    fn replace_process(&mut self) {
        let index = self.random.usize(..self.running.len());
        let ended = std::mem::replace(&mut self.running[index], self.next_process);
        self.next_process += 1;
        self.open.retain(|(process, ..)| *process != ended);
    }
}

/// Guards against an id that is reserved while another process has it open, or within a minute after its request may have run,
/// and against one that is rejected without such a reason.
#[test]
fn bucket_agrees_with_its_model_while_processes_are_replaced() {
    for seed in 0..SEQUENCES {
        let mut trial = Trial::new(seed);
        for _ in 0..STEPS {
            trial.step();
        }
    }
}
