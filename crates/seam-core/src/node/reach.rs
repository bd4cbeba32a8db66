//! Which services' targets this node reaches.

use seam_protocol::{ServiceId, Time};

use super::Node;
use crate::audit::Change;
use crate::command::Command;

impl Node {
    /// Records and audits whether this node reaches a target of a service.
    pub(super) fn update_reach(&mut self, now: Time, service: ServiceId, out: &mut Vec<Command>) {
        let stranded = self.targets.listed_in_region(service)
            && !self.targets.serving_in_region(service, None);
        let state = self.service_state(service);
        let since = state.stranded_since;
        if since.is_some() == stranded {
            return;
        }
        state.stranded_since = stranded.then_some(now);
        let spec = self.bundle.as_ref().and_then(|b| b.services.get(&service));
        let name = spec.map_or_else(|| service.to_string(), |spec| spec.name.clone());
        let states = match since {
            None => ("reaches targets".to_owned(), "reaches none".to_owned()),
            Some(since) => {
                let millis = now.since(since).as_millis();
                (
                    "reaches none".to_owned(),
                    format!("reaches targets, after {millis} ms"),
                )
            }
        };
        let cause = "all its targets here are ejected, or one no longer is";
        out.push(self.audit(now, Change::Reach, format!("service {name}"), states, cause));
    }
}
