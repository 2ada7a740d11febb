use super::*;

#[test]
fn each_end_of_an_attempt_has_a_counter_of_its_own() {
    for end in AttemptEnd::ALL {
        let metrics = UpstreamMetrics::default();
        metrics.record_end(end);
        let text = metrics.render();
        let counted: Vec<_> = text.lines().filter(|line| line.ends_with(":1|c")).collect();
        let expected = format!("edge_router.attempts_ended.{}:1|c", end.name());
        assert_eq!(counted, [expected.as_str()]);
    }
}
