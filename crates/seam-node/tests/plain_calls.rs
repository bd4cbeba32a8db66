//! Requests to a plain service through one node.

use seam_emulator::Caller;
use seam_emulator::plain::Echo;
use seam_fleet::{WINDHOEK, with_fleet};

#[test]
fn complete_response() {
    with_fleet(|fleet| async move {
        let caller = Caller::new(fleet.caller("khomas-1"), WINDHOEK).with("seam-region", "oshana");
        let response = caller
            .post("/booking-desk/slots?day=3", "two")
            .await
            .unwrap();
        assert_eq!(response.status, 200);
        assert_eq!(response.field("seam-outcome"), "complete");
        assert!(!response.field("seam-request-id").is_empty());
        let echo: Echo = serde_json::from_slice(&response.body).unwrap();
        assert_eq!(echo.line, "POST /slots?day=3");
        assert_eq!(echo.body, "two");
        assert_eq!(echo.target, "booking-desk-khomas-1");
    });
}

#[test]
fn wrong_credential() {
    with_fleet(|fleet| async move {
        let caller = Caller::new(fleet.caller("khomas-1"), "not-a-token");
        let response = caller.get("/booking-desk/slots").await.unwrap();
        assert_eq!(response.status, 401);
        assert_eq!(response.field("content-type"), "application/problem+json");
        let problem = response.problem().unwrap();
        assert_eq!(problem.kind, "/problems/credential");
        assert_eq!(problem.outcome, seam_protocol::Outcome::NotRun);
        assert!(fleet.plains.values().all(|plain| plain.runs().is_empty()));
    });
}

#[test]
fn unknown_service() {
    with_fleet(|fleet| async move {
        let caller = Caller::new(fleet.caller("khomas-1"), WINDHOEK);
        let response = caller.get("/booking-dsk/slots").await.unwrap();
        assert_eq!(response.status, 404);
        assert!(response.text().contains("booking-dsk"));
    });
}

#[test]
fn bad_deadline() {
    with_fleet(|fleet| async move {
        let caller = Caller::new(fleet.caller("khomas-1"), WINDHOEK).with("seam-deadline-ms", "x");
        let response = caller.get("/booking-desk/slots").await.unwrap();
        assert_eq!(response.status, 400);
        assert!(response.text().contains("seam-deadline-ms"));
    });
}

#[test]
fn large_body() {
    with_fleet(|fleet| async move {
        let caller = Caller::new(fleet.caller("khomas-1"), WINDHOEK);
        let body = "x".repeat((1 << 20) + 1);
        let response = caller.post("/booking-desk/slots", &body).await.unwrap();
        assert_eq!(response.status, 413);
    });
}
