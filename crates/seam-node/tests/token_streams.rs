//! Token streams from a model engine.

use seam_emulator::Caller;
use seam_fleet::{WINDHOEK, with_fleet};

#[test]
fn whole_stream() {
    with_fleet(|fleet| async move {
        let caller = Caller::new(fleet.caller("erongo-2"), WINDHOEK);
        let response = caller.post("/seam-stylist/v1/chat", "silk").await.unwrap();
        assert_eq!(response.status, 200);
        assert_eq!(response.field("content-type"), "text/event-stream");
        let text = response.text();
        assert_eq!(text.matches("\"token\":").count(), 8);
        assert!(text.ends_with("data: [DONE]\n\n"));
        assert!(text.contains("seam-stylist-erongo"));
    });
}

#[test]
fn responses_not_mixed() {
    with_fleet(|fleet| async move {
        let node = fleet.caller("khomas-2");
        let tasks: Vec<_> = (0..24)
            .map(|index| {
                seam_http::spawn(async move {
                    let body = format!("caller {index}.");
                    let caller = Caller::new(node, WINDHOEK);
                    let response = caller.post("/seam-stylist/chat", &body).await.unwrap();
                    (body, response)
                })
            })
            .collect();
        for task in tasks {
            let (body, response) = task.await;
            assert_eq!(response.status, 200);
            assert_eq!(response.text().matches(&body).count(), 8);
            assert_eq!(response.text().matches("caller ").count(), 8);
        }
    });
}
