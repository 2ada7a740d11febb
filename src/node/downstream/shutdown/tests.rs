use super::*;

/// Guards against losing a request that arrives while its connection is asked to close. A connection with arrived bytes or a
/// request in progress stays open. Idle connections close gracefully, and connections without progress are aborted.
#[test]
fn close_mode_keeps_arrived_bytes_and_aborts_stalled_connections() {
    use CloseMode::{Abort, Graceful, KeepOpen};
    let choose = |stage, is_idle: bool, has_unread_bytes: bool| {
        CloseMode::choose(stage, || is_idle, || has_unread_bytes)
    };
    for is_idle in [false, true] {
        for has_unread_bytes in [false, true] {
            let mode = |stage| choose(stage, is_idle, has_unread_bytes);
            assert_eq!(mode(Stage::ServingRequest), KeepOpen);
            assert_eq!(mode(Stage::SendingResponse), Abort);
            assert_eq!(mode(Stage::Lingering), Abort);
            assert_eq!(mode(Stage::Idle), if is_idle { Graceful } else { KeepOpen });
            for stage in [Stage::New, Stage::ReceivingHead] {
                assert_eq!(
                    mode(stage),
                    if has_unread_bytes { KeepOpen } else { Abort },
                    "{stage:?}"
                );
            }
        }
    }
}
