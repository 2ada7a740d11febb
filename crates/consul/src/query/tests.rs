use super::*;

#[test]
fn query_with_every_option_encodes_all_of_them() {
    let mut query = Query::health("holds");
    assert_eq!(query.path(0), "/v1/health/service/holds");
    assert_eq!(query.path(41), "/v1/health/service/holds?index=41&wait=60s");
    query.api = Api::Catalog;
    query.service = "a/b?c".into();
    query.datacenter = Some("hart ford".into());
    query.namespace = Some("n".into());
    query.partition = Some("p".into());
    query.tags = vec!["x".into(), "y&z".into()];
    query.filter = Some("Service.Meta.state != \"off\"".into());
    query.consistency = Consistency::Stale;
    assert_eq!(
        query.path(0),
        "/v1/catalog/service/a%2Fb%3Fc?dc=hart%20ford&ns=n&partition=p\
         &filter=Service.Meta.state%20%21%3D%20%22off%22&tag=x&tag=y%26z&stale"
    );
}

#[test]
fn every_consistency_mode_is_in_the_path() {
    for (consistency, path) in [
        (Consistency::Default, "/v1/health/service/a"),
        (Consistency::Stale, "/v1/health/service/a?stale"),
        (Consistency::Consistent, "/v1/health/service/a?consistent"),
        (Consistency::Cached, "/v1/health/service/a?cached"),
    ] {
        assert_eq!(
            Query {
                consistency,
                ..Query::health("a")
            }
            .path(0),
            path
        );
    }
}

#[test]
fn maximum_wait_includes_the_jitter_that_consul_adds() {
    let query = Query {
        wait_s: 160,
        ..Query::health("a")
    };
    assert!((query.max_wait_ms() - 170_000.0).abs() < 1e-6);
}
