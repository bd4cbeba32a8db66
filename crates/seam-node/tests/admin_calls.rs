//! Roles and explanations of the administration API.

use seam_emulator::Caller;
use seam_fleet::{OPERATE_TOKEN, READ_TOKEN, with_fleet};

#[test]
fn roles() {
    with_fleet(|fleet| async move {
        let admin = fleet.node("khomas-1").listen.admin;
        let unauthorized = Caller::new(admin, "wrong");
        let reader = Caller::new(admin, READ_TOKEN);
        let operator = Caller::new(admin, OPERATE_TOKEN);
        assert_eq!(unauthorized.get("/health").await.unwrap().status, 200);
        assert_eq!(unauthorized.get("/v1/status").await.unwrap().status, 401);
        assert_eq!(reader.get("/v1/status").await.unwrap().status, 200);
        assert_eq!(reader.post("/v1/drain", "").await.unwrap().status, 403);
        assert_eq!(operator.post("/v1/drain", "").await.unwrap().status, 200);
        assert_eq!(unauthorized.get("/ready").await.unwrap().status, 503);
        assert_eq!(operator.post("/v1/undrain", "").await.unwrap().status, 200);
        assert_eq!(unauthorized.get("/ready").await.unwrap().status, 200);
        let audit = reader.get("/v1/audit").await.unwrap().text();
        assert!(audit.contains("node_drain"));
        let metrics = reader.get("/metrics").await.unwrap().text();
        assert!(metrics.contains("seam_revision{"));
        let unknown = reader.get("/v1/nothing").await.unwrap();
        assert_eq!(unknown.status, 404);
        assert!(unknown.text().contains("openapi"));
    });
}

#[test]
fn explanations() {
    with_fleet(|fleet| async move {
        let admin = Caller::new(fleet.node("khomas-1").listen.admin, READ_TOKEN);
        let path = "/v1/explain?customer=salon-swakop&service=booking%2Ddesk";
        let text = admin.get(path).await.unwrap().text();
        assert!(text.contains("sent to region \\\"erongo\\\""), "{text}");
        let missing = admin.get("/v1/explain?customer=x&service=y").await.unwrap();
        assert_eq!(missing.status, 404);
    });
}

/// Guards against an explanation for callers without a token, and a request in a body that is taken where no routes
/// are published.
#[test]
fn explained_bodies() {
    with_fleet(|fleet| async move {
        let address = fleet.node("khomas-1").listen.admin;
        let reader = Caller::new(address, READ_TOKEN);
        let call = r#"{"host": "salon.example", "path": "/book/1"}"#;
        let unrouted = reader.post("/v1/explain", call).await.unwrap();
        assert_eq!(unrouted.status, 400);
        assert!(unrouted.text().contains("publishes no routes"));
        let large = format!("{call}{}", " ".repeat(65 << 10));
        let large = reader.post("/v1/explain", &large).await.unwrap();
        assert_eq!(large.status, 400);
        assert!(large.text().contains("cannot be read"));
        let stranger = Caller::new(address, "wrong");
        let unauthorized = stranger.post("/v1/explain", call).await.unwrap();
        assert_eq!(unauthorized.status, 401);
    });
}
