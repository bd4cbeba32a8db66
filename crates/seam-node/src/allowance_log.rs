//! Log lines about the allowances of tenants.

use seam_core::command::AllowanceEvent;

/// Logs a decision about the allowances of tenants.
pub fn log_event(event: &AllowanceEvent) {
    match *event {
        AllowanceEvent::Refused {
            ticket,
            tenant,
            cost,
            held,
            coordinators,
            wait,
        } => {
            let names = coordinators.iter().flatten().map(ToString::to_string);
            let names = names.collect::<Vec<_>>().join(" ");
            log::info!(
                target: "allowance",
                ticket = ticket.0, tenant:% = tenant, cost = cost, held = held,
                coordinators = names.as_str(), wait_ms = wait.as_millis() as u64;
                "refused by the allowance"
            );
        }
        AllowanceEvent::Coordinator { from, to, share } => {
            let from = from.map_or_else(String::new, |vm| vm.to_string());
            log::info!(
                target: "allowance",
                from = from.as_str(), to:% = to, share = share;
                "coordinator changed"
            );
        }
    }
}
