//! Targets that fall over if they have to turn away many requests.
//!
//! While the targets of a service are brittle, each node keeps to a share of their slots, so that all
//! nodes together send no more than there is room for. The shares follow from the list of nodes alone.

use seam_protocol::{ServiceId, Time};

use super::Node;
use crate::audit::Change;
use crate::command::Command;
use crate::handle::{AttemptKey, TargetKey};
use crate::request::Destination;
use crate::targets::slot_share;

impl Node {
    /// Returns whether the targets of a service are known to be brittle.
    #[must_use]
    pub fn is_brittle(&self, now: Time, service: ServiceId) -> bool {
        self.targets.is_brittle(now, service)
    }

    /// Handles an answer that says whether the targets of its service are brittle.
    pub(super) fn handle_brittle(
        &mut self,
        now: Time,
        key: AttemptKey,
        brittle: bool,
        out: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        let Destination::Target(target) = attempt.destination else {
            return;
        };
        let service = self.targets.get(target).service;
        let before = self.targets.is_brittle(now, service);
        self.targets.set_brittle(now, service, brittle);
        self.update_brittle_shares(service);
        if before != brittle {
            let spec = self.bundle.as_ref().and_then(|b| b.services.get(&service));
            let name = spec.map_or_else(|| service.to_string(), |spec| spec.name.clone());
            let text = |brittle: bool| if brittle { "brittle" } else { "sound" };
            let id = self.targets.get(target).id;
            out.push(self.audit(
                now,
                Change::Brittle,
                format!("service {name}"),
                (text(before), text(brittle)),
                format!("an answer of target {id}"),
            ));
            self.dispatch(now, service, out);
        }
    }

    /// Sets this node's share of the slots of each target of a service.
    fn update_brittle_shares(&mut self, service: ServiceId) {
        let targets = self.targets.all();
        let of_service = targets.filter(|(_, state)| state.service == service);
        let shares: Vec<(TargetKey, u32)> = of_service
            .map(|(key, state)| {
                let (nodes, rank) = self.rank_for_target(state.id);
                (key, slot_share(state.spec.slots, nodes, rank))
            })
            .collect();
        for (key, share) in shares {
            self.targets.set_brittle_share(key, share);
        }
    }
}
