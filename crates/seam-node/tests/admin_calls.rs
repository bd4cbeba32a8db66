//! Roles and explanations of the administration API.

use seam_emulator::Caller;
use seam_fleet::{OPERATE, READ, with_fleet};

#[test]
fn roles() {
    with_fleet(|fleet| async move {
        let admin = fleet.node("khomas-1").listen.admin;
        let unauthorized = Caller::new(admin, "wrong");
        let reader = Caller::new(admin, READ);
        let operator = Caller::new(admin, OPERATE);
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
        let admin = Caller::new(fleet.node("khomas-1").listen.admin, READ);
        let path = "/v1/explain?customer=salon-swakop&service=booking%2Ddesk";
        let text = admin.get(path).await.unwrap().text();
        assert!(text.contains("sent to region \\\"erongo\\\""), "{text}");
        let missing = admin.get("/v1/explain?customer=x&service=y").await.unwrap();
        assert_eq!(missing.status, 404);
    });
}
