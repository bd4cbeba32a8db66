//! Requests that are served in the node's region, forwarded to another one, or refused because of a
//! customer's residency.

use seam_emulator::Caller;
use seam_fleet::{SWAKOP_TOKEN, WINDHOEK_TOKEN, with_fleet};
use seam_protocol::{CustomerId, RegionId};

#[test]
fn forwarded_home() {
    with_fleet(|fleet| async move {
        let caller = Caller::new(fleet.caller_address("khomas-1"), SWAKOP_TOKEN);
        let response = caller.get("/booking-desk/slots").await.unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
        assert!(response.text().contains("booking-desk-erongo-1"));
        let stream = caller.post("/seam-stylist/chat", "notes").await.unwrap();
        assert!(stream.text().contains("seam-stylist-erongo"));
        assert!(stream.text().ends_with("data: [DONE]\n\n"));
    });
}

#[test]
fn refused_residency() {
    with_fleet(|mut fleet| async move {
        // The command line does not publish a residency that no target satisfies, but a node must
        // refuse requests under it all the same.
        fleet.publish(|bundle| {
            let customer = CustomerId::of("salon-swakop");
            let customer_config = bundle.customers.get_mut(&customer).unwrap();
            customer_config.residency = Some([RegionId::of("nowhere")].into());
        });
        fleet.wait_ready().await;
        let caller = Caller::new(fleet.caller_address("khomas-1"), SWAKOP_TOKEN);
        let response = caller.get("/booking-desk/slots").await.unwrap();
        assert_eq!(response.status, 403);
        assert_eq!(response.problem().unwrap().kind, "/problems/residency");
        assert!(
            fleet
                .plain_services
                .values()
                .all(|plain| plain.runs().is_empty())
        );
    });
}

#[test]
fn own_region_first() {
    with_fleet(|fleet| async move {
        for region in ["khomas", "erongo", "oshana"] {
            let caller = Caller::new(fleet.caller_address(&format!("{region}-1")), WINDHOEK_TOKEN);
            let response = caller.get("/booking-desk/slots").await.unwrap();
            assert!(
                response
                    .text()
                    .contains(&format!("booking-desk-{region}-1"))
            );
        }
    });
}
