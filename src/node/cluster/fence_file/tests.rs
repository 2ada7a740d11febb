use super::*;

use std::time::Instant;

/// The token in the file; `None` without a file.
fn stored_token(path: &Path) -> Option<u64> {
    let text = fs::read_to_string(path).ok()?;
    decode_fence_file("n0", &text).ok().map(|token| token.0)
}

/// Guards against a lower fencing token after a restart: a reservation whose writes failed for a while must not replace a
/// higher one that was confirmed meanwhile.
#[tokio::test]
async fn failed_reservation_does_not_replace_a_higher_one() {
    tokio::task::LocalSet::new()
        .run_until(check_failed_reservation())
        .await;
}

async fn check_failed_reservation() {
    let folder = tempfile::tempdir().expect("create a temporary directory");
    let missing_folder = folder.path().join("later");
    let path = missing_folder.join("fences");
    let file = FenceFile::new(path.clone(), "n0");
    let confirmed = Rc::<Cell<u64>>::default();
    let reserve = |token| {
        let confirmed = Rc::clone(&confirmed);
        file.reserve(FencingToken(token), move |token| confirmed.set(token.0));
    };
    reserve(10);
    tokio::time::sleep(WRITE_RETRY_INTERVAL / 2).await;
    reserve(20);
    tokio::time::sleep(WRITE_RETRY_INTERVAL * 3 / 4).await;
    assert_eq!(
        confirmed.get(),
        0,
        "nothing is confirmed before it is stored"
    );
    fs::create_dir(&missing_folder).expect("create the missing directory");
    let start = Instant::now();
    while start.elapsed() < WRITE_RETRY_INTERVAL * 3 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let stored = stored_token(&path).unwrap_or_default();
        assert!(
            stored >= confirmed.get(),
            "{stored} is stored after {} was confirmed",
            confirmed.get()
        );
    }
    assert_eq!(stored_token(&path), Some(20));
}
