use super::*;
use proptest::prelude::*;

#[test]
fn metrics_render_as_statsd_lines() {
    let metrics = Metrics::new(["avail-read".to_owned(), "hold-place".to_owned()]);
    metrics.begin_request(0).finish(RequestOutcome::Served);
    metrics.begin_request(1).finish(RequestOutcome::Rejected);
    metrics.begin_request(1).finish(RequestOutcome::Failed);
    drop(metrics.begin_request(0));
    metrics.attempts(0).increment();
    let _in_flight = metrics.begin_request(1);
    let text = metrics.render(ServerGauges {
        known: 12,
        excluded: 2,
    });
    let expected = "edge_router.served.avail-read:1|c\nedge_router.refused.avail-read:0|c\n\
        edge_router.failed.avail-read:0|c\nedge_router.attempts.avail-read:1|c\n\
        edge_router.served.hold-place:0|c\nedge_router.refused.hold-place:1|c\n\
        edge_router.failed.hold-place:1|c\nedge_router.attempts.hold-place:0|c\n\
        edge_router.in_flight:1|g\nedge_router.servers_known:12|g\nedge_router.servers_excluded:2|g\n";
    assert_eq!(text, expected);
}

proptest! {
    /// Guards the invariant of the module for any order of starts and ends.
    #[test]
    fn accepted_requests_equal_ended_plus_in_flight(
        steps in proptest::collection::vec((0..5_usize, 0..3_usize, any::<usize>()), 0..200),
    ) {
        let metrics = Metrics::new((0..3).map(|class| format!("c{class}")));
        let mut in_flight = Vec::new();
        for (step, class, selector) in steps {
            if step == 0 || in_flight.is_empty() {
                in_flight.push(metrics.begin_request(class));
            } else {
                let position = selector % in_flight.len();
                let request = in_flight.swap_remove(position);
                match step {
                    1 => request.finish(RequestOutcome::Served),
                    2 => request.finish(RequestOutcome::Rejected),
                    3 => request.finish(RequestOutcome::Failed),
                    _ => drop(request),
                }
            }
            prop_assert!(metrics.is_balanced(), "accepted requests differ from ended plus in flight: {metrics:?}");
            prop_assert_eq!(metrics.in_flight(), in_flight.len() as u64);
        }
    }
}
