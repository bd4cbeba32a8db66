//! Drains of nodes, and targets that leave.

use std::time::Duration;

use futures_lite::future;
use http_body_util::BodyExt;
use seam_emulator::Caller;
use seam_emulator::TargetConfig;
use seam_emulator::engine::EngineConfig;
use seam_emulator::server::wait_until;
use seam_fleet::{Fleet, WINDHOEK_TOKEN, example_deployment, with_fleet};
use seam_http::Connection;
use seam_protocol::VmId;

#[test]
fn stream_survives() {
    seam_http::start_workers(2);
    seam_http::block_on(async {
        let engine = EngineConfig {
            token_interval: Duration::from_millis(150),
            tokens: 30,
            ..TargetConfig::default().engine
        };
        let target_config = TargetConfig {
            engine,
            ..TargetConfig::default()
        };
        let mut fleet = Fleet::start(example_deployment(), target_config);
        fleet.wait_ready().await;
        let caller = Caller::new(fleet.caller_address("khomas-1"), WINDHOEK_TOKEN);
        let mut connection = Connection::open(caller.node).await.unwrap();
        let request = caller.request(http::Method::POST, "/seam-stylist/chat", "slow");
        let response = connection.send(request).await.unwrap();
        assert_eq!(response.status(), 200);
        let node = fleet
            .nodes
            .remove(&VmId::of("khomas-1"))
            .unwrap()
            .drain("test");
        let aborted = node.finish(future::pending());
        let body = response.into_body().collect();
        let (aborted, body) = future::zip(aborted, body).await;
        let text = String::from_utf8_lossy(&body.unwrap().to_bytes()).into_owned();
        assert!(text.ends_with("data: [DONE]\n\n"));
        assert_eq!(aborted, 0);
    });
}

#[test]
fn drained_node_unlisted() {
    with_fleet(|mut fleet| async move {
        let node = fleet.nodes.remove(&VmId::of("khomas-1")).unwrap();
        let drained = node.listen.caller.to_string();
        let draining = node.drain("test");
        let other = fleet.node("khomas-2").runtime();
        let peer = |name: &str| {
            let status = other.read(seam_core::Node::status);
            status
                .peers
                .into_iter()
                .find(|peer| peer.name == name)
                .unwrap()
        };
        wait_until(|| !peer("khomas-1").ready).await;
        let caller = Caller::new(fleet.caller_address("khomas-2"), WINDHOEK_TOKEN);
        let entries = caller.get("/v1/entries").await.unwrap();
        assert!(!entries.text().contains(&drained), "{}", entries.text());
        assert_eq!(draining.finish(future::pending()).await, 0);
    });
}

#[test]
fn leaving_target() {
    with_fleet(|fleet| async move {
        fleet.set_leaving(&["booking-desk-khomas-1"]);
        let runtime = fleet.node("khomas-1").runtime();
        wait_until(|| {
            let status = runtime.read(seam_core::Node::status);
            status
                .targets
                .iter()
                .any(|target| target.phase == "leaving")
        })
        .await;
        let caller = Caller::new(fleet.caller_address("khomas-1"), WINDHOEK_TOKEN);
        let response = caller.get("/booking-desk/slots").await.unwrap();
        assert_eq!(response.status, 200);
        assert!(!response.text().contains("booking-desk-khomas-1"));
    });
}
