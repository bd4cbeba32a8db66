//! Log lines and metrics of the allowances of tenants.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Gauge, Meter};
use seam_core::AllowanceStatus;
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

/// Gauges of the allowances of tenants.
#[derive(Debug)]
pub struct AllowanceGauges {
    tokens: Gauge<f64>,
    waiting: Gauge<u64>,
    lent: Gauge<u64>,
    pooled: Gauge<f64>,
}

impl AllowanceGauges {
    /// Creates the gauges.
    pub fn new(meter: &Meter) -> Self {
        let fraction = |name: &'static str| meter.f64_gauge(name);
        let count = |name: &'static str| meter.u64_gauge(name);
        Self {
            tokens: fraction("seam_allowance_tokens")
                .with_description("tokens of tenants' requests since boot, by end")
                .build(),
            waiting: count("seam_allowance_waiting")
                .with_description("requests that wait for tokens of their tenants' allowances")
                .build(),
            lent: count("seam_allowance_lent")
                .with_description("halves of this node's share of the allowances that are lent")
                .build(),
            pooled: fraction("seam_allowance_pooled")
                .with_description("sum of the shares of the allowances that are lent to this node")
                .build(),
        }
    }

    /// Sets the gauges.
    pub fn set(&self, status: &AllowanceStatus) {
        for (end, tokens) in [
            ("admitted", status.admitted),
            ("refused", status.refused),
            ("returned", status.returned),
        ] {
            let label = [KeyValue::new("end", end)];
            self.tokens.record(tokens, &label);
        }
        self.waiting.record(status.waiting as u64, &[]);
        self.lent.record(status.lent as u64, &[]);
        self.pooled.record(status.pooled, &[]);
    }
}
