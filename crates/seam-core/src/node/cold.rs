//! Targets that take few requests for some time, since their caches are empty.

use seam_protocol::{TargetId, Time};

use super::Node;
use crate::audit::Change;
use crate::catalogue::RENEWAL_WINDOW;
use crate::command::Command;
use crate::targets::cold_share;

impl Node {
    /// Limits requests to a target that accepts work again as if it were cold, until it has
    /// published its entry again.
    ///
    /// Its earlier entry, from before it left or its data centre was evacuated, does not show
    /// whether its cache is cold now.
    pub(super) fn presume_cold(&mut self, now: Time, id: TargetId, out: &mut Vec<Command>) {
        let Some(key) = self.targets.key(id) else {
            return;
        };
        let rate = self.targets.get(key).capacity.cold_rate;
        if rate > 0.0 {
            let until = now + RENEWAL_WINDOW;
            self.limit_cold_target(now, id, until, rate, "its return", out);
        }
    }

    /// Sets this node's share of the request rate that a cold target can handle, and audits that the
    /// target counts as cold from now on.
    pub(super) fn limit_cold_target(
        &mut self,
        now: Time,
        id: TargetId,
        until: Time,
        rate: f64,
        source: &str,
        out: &mut Vec<Command>,
    ) {
        let (nodes, rank) = self.rank_for_target(id);
        let Some(key) = self.targets.key(id) else {
            return;
        };
        let share = cold_share(rate, nodes, rank);
        let known = self.targets.get(key).cold.limiter(now).is_some();
        self.targets.set_cold(key, self.boot, until, share);
        if !known {
            let millis = until.since(now).as_millis();
            out.push(self.audit(
                now,
                Change::Cold,
                format!("target {id}"),
                ("warm".to_owned(), format!("cold for {millis} ms")),
                format!(
                    "{source}; {} of {rate} requests here, {nodes} nodes",
                    share.allowed
                ),
            ));
        }
    }
}
