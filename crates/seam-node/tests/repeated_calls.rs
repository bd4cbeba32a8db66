//! Non-idempotent requests that their caller repeats with an idempotency key.

use seam_emulator::Caller;
use seam_fleet::{Fleet, WINDHOEK, with_fleet};
use seam_node::front::KeyResponse;
use seam_protocol::Outcome;

async fn key(caller: &Caller) -> String {
    let response = caller.post("/v1/keys", "").await.unwrap();
    assert_eq!(response.status, 201);
    let response: KeyResponse = serde_json::from_slice(&response.body).unwrap();
    response.key
}

fn runs(fleet: &Fleet) -> u32 {
    let plains = fleet.plains.values();
    plains.flat_map(|plain| plain.runs().into_values()).sum()
}

#[test]
fn stored_response() {
    with_fleet(|fleet| async move {
        let caller = Caller::new(fleet.caller("khomas-1"), WINDHOEK);
        let key = key(&caller).await;
        let caller = caller.with("idempotency-key", &key);
        let first = caller.post("/booking-desk/deposits", "500").await.unwrap();
        let again = caller.post("/booking-desk/deposits", "500").await.unwrap();
        assert_eq!(first.status, 200);
        assert_eq!(first.body, again.body);
        assert_eq!(runs(&fleet), 1);
    });
}

#[test]
fn other_node() {
    with_fleet(|fleet| async move {
        let caller = Caller::new(fleet.caller("khomas-1"), WINDHOEK);
        let key = key(&caller).await;
        for node in ["khomas-2", "erongo-1", "khomas-1", "oshana-3"] {
            let caller = Caller::new(fleet.caller(node), WINDHOEK).with("idempotency-key", &key);
            let response = caller.post("/booking-desk/deposits", "500").await.unwrap();
            assert_eq!(response.status, 200, "{}", response.text());
        }
        assert_eq!(runs(&fleet), 1);
    });
}

#[test]
fn other_body() {
    with_fleet(|fleet| async move {
        let caller = Caller::new(fleet.caller("khomas-1"), WINDHOEK);
        let key = key(&caller).await;
        let caller = caller.with("idempotency-key", &key);
        caller.post("/booking-desk/deposits", "500").await.unwrap();
        let other = caller.post("/booking-desk/deposits", "501").await.unwrap();
        assert_eq!(other.status, 422);
        assert_eq!(other.problem().unwrap().kind, "/problems/key-reuse");
        assert_eq!(runs(&fleet), 1);
    });
}

#[test]
fn issuer_gone() {
    with_fleet(|mut fleet| async move {
        let caller = Caller::new(fleet.caller("khomas-1"), WINDHOEK);
        let key = key(&caller).await;
        let node = fleet
            .nodes
            .remove(&seam_protocol::VmId::of("khomas-1"))
            .unwrap();
        node.abort();
        let caller = Caller::new(fleet.caller("khomas-2"), WINDHOEK).with("idempotency-key", &key);
        let response = caller.post("/booking-desk/deposits", "500").await.unwrap();
        let problem = response.problem().unwrap();
        assert_eq!(problem.outcome, Outcome::Unknown, "{}", response.text());
        assert_eq!(runs(&fleet), 0);
    });
}

#[test]
fn forged_key() {
    with_fleet(|fleet| async move {
        let caller = Caller::new(fleet.caller("khomas-1"), WINDHOEK);
        let caller = caller.with("idempotency-key", "seam1.AAAAAAAAAAAAAAAAAAAAAAAAAAAA");
        let response = caller.post("/booking-desk/deposits", "500").await.unwrap();
        assert_eq!(response.status, 400);
        assert_eq!(runs(&fleet), 0);
    });
}
