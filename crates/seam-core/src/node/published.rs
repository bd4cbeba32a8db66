//! Takes in what a platform publishes item by item, and who the nodes are by their own word.

use std::net::SocketAddr;
use std::sync::Arc;

use seam_protocol::id::weighted_rank;
use seam_protocol::{Bundle, Delta, Heartbeat, RegionId, TargetId, Time, Vm, VmId};

use super::Node;
use crate::audit::Change;
use crate::catalogue::{News, REWRITE, Source};
use crate::command::Command;
use crate::roster::Roster;
use crate::targets::cold_share;

/// Nodes of a region that watch the platform.
const WATCHERS: usize = 2;
/// Number by which nodes are ranked for watching.
const WATCH_SEED: u64 = 0x7761_7463;

impl Node {
    /// Makes the node one of a deployment whose nodes, targets and configuration are not published
    /// as a whole. `skeleton` names the regions; its revision is zero.
    pub fn join(&mut self, now: Time, own: Vm, seeds: Vec<SocketAddr>, skeleton: Bundle) {
        self.roster = Some(Roster::new(now, own, seeds));
        self.base_config = Some(Arc::new(skeleton));
        self.targets.share_all();
        self.rebuild_bundle(now, &mut Vec::new());
    }

    /// Tells whether this node is to watch the platform, or hears of changes from others that do.
    ///
    /// A few nodes of each region watch, the first ones by rank among those that the platform
    /// answers. A node that hears of none of them watches itself.
    #[must_use]
    pub fn watches_platform(&self, now: Time) -> bool {
        let rank_of = |vm: VmId| seam_protocol::id::rank(WATCH_SEED, u64::from(vm.0));
        let mine = rank_of(self.id.vm);
        let before = self
            .peers
            .live_in(now, self.id.region)
            .filter(|(vm, peer)| peer.reads && rank_of(*vm) > mine);
        before.count() < WATCHERS || !self.configured()
    }

    /// Returns the items that bring another node up to this one's revision.
    #[must_use]
    pub fn items_since(&self, revision: u64) -> Delta {
        self.catalogue.since(revision)
    }

    /// Returns the revision up to which every item is known.
    #[must_use]
    pub fn items_revision(&self) -> u64 {
        self.catalogue.head()
    }

    /// Merges items and puts in force what they change.
    pub(super) fn merge_items(
        &mut self,
        now: Time,
        news: News,
        source: Source,
        out: &mut Vec<Command>,
    ) {
        self.pending_pull = None;
        let head = self.catalogue.head();
        let merged = self.catalogue.merge(now, news, source);
        for (key, reason) in &merged.unusable {
            let cause = format!("the item cannot be used: {reason}");
            out.push(self.audit(now, Change::Item, key, ("", "ignored"), cause));
        }
        for heard in &merged.heard {
            let cause = format!("revision {} by {source:?}", heard.revision);
            out.push(self.audit(now, Change::Item, &heard.key, ("", heard.says), cause));
        }
        let config = merged.config.filter(|config| {
            let mine = self.base_config.as_ref().map_or(0, |base| base.revision);
            config.revision > mine
        });
        let configured = config.is_some();
        if let Some(config) = config {
            let before = self.base_config.as_ref().map_or(0, |base| base.revision);
            out.push(self.audit(
                now,
                Change::Revision,
                "configuration",
                (before.to_string(), config.revision.to_string()),
                format!("newer revision by {source:?}"),
            ));
            self.base_config = Some(config);
        }
        if configured || merged.inventory {
            self.rebuild_bundle(now, out);
        }
        if self.catalogue.head() > head {
            self.send_urgent_heartbeats(now, out);
        }
    }

    /// Takes in whether the platform answers this node.
    pub(super) fn set_platform_away(&mut self, now: Time, away: bool, out: &mut Vec<Command>) {
        if self.catalogue.set_away(now, away) {
            let word = |away: bool| if away { "away" } else { "answers" };
            let line = self.audit(
                now,
                Change::Platform,
                "platform",
                (word(!away), word(away)),
                "last call",
            );
            out.push(line);
        }
    }

    /// Puts configuration, targets and nodes together.
    pub(super) fn rebuild_bundle(&mut self, now: Time, out: &mut Vec<Command>) {
        let Some((base, roster)) = self.base_config.clone().zip(self.roster.as_ref()) else {
            return;
        };
        let first = !self.configured();
        let mut bundle = (*base).clone();
        bundle.deployment.vms = roster.vms();
        let inventory = self.catalogue.inventory();
        let mut listed = std::collections::BTreeMap::new();
        let mut cold = Vec::new();
        for target in inventory.targets.values() {
            let Some(service) = bundle.services.get_mut(&target.service) else {
                continue;
            };
            let id = target.id();
            let evacuated = inventory.evacuated.contains(&target.rule.centre);
            listed.insert(id, target.leaving || evacuated);
            if !target.cold.is_zero() && target.rule.region == self.id.region {
                cold.push((id, now + target.cold, service.capacity.cold_rate));
            }
            service.targets.insert(id, target.rule.clone());
        }
        let bundle = Arc::new(bundle);
        let mut back = self.install(now, first, &bundle);
        self.target_leaving = listed;
        back.extend(self.apply_vm_list(now, out));
        for id in back {
            self.presume_cold(now, id);
        }
        for (id, until, rate) in cold {
            self.limit_cold_target(id, until, rate);
        }
        let services: Vec<_> = bundle.services.keys().copied().collect();
        for service in services {
            self.dispatch(now, service, out);
        }
    }

    /// Sends a target that is back only what a cold one bears, until it has said whether it is cold.
    ///
    /// What it wrote before it went, or before its data centre was evacuated, does not tell.
    fn presume_cold(&mut self, now: Time, id: TargetId) {
        let Some(key) = self.targets.key(id) else {
            return;
        };
        let rate = self.targets.get(key).capacity.cold_rate;
        if rate > 0.0 {
            self.limit_cold_target(id, now + REWRITE, rate);
        }
    }

    /// Sets this node's share of what a cold target bears.
    ///
    /// Nodes that are not heard of count, since they may still reach the target.
    fn limit_cold_target(&mut self, id: TargetId, until: Time, rate: f64) {
        let Some(bundle) = &self.bundle else {
            return;
        };
        let nodes: Vec<VmId> = bundle.deployment.vms_in(self.id.region).collect();
        let rank_of = |vm: VmId| seam_protocol::id::rank(u64::from(id.0), u64::from(vm.0));
        let mine = rank_of(self.id.vm);
        let rank = nodes.iter().filter(|vm| rank_of(**vm) > mine).count();
        if let Some(key) = self.targets.key(id) {
            let allowed = cold_share(rate, nodes.len(), rank);
            self.targets.chill(key, self.boot, until, allowed);
        }
    }

    /// Takes in the addresses that a heartbeat carries.
    pub(super) fn merge_addresses(&mut self, now: Time, beat: &Heartbeat, out: &mut Vec<Command>) {
        let Some(roster) = &mut self.roster else {
            return;
        };
        let Some((own, others)) = beat.cards.split_first() else {
            return;
        };
        if VmId::of(&own.name) != beat.from {
            return;
        }
        let mut news = roster.hear(now, own);
        for vm in others {
            news |= roster.hear_of(now, vm);
        }
        if news {
            self.rebuild_bundle(now, out);
        }
    }

    /// Calls seeds while nobody, or not every seed, is known, and forgets nodes that are gone.
    pub(super) fn maintain_roster(&mut self, now: Time, out: &mut Vec<Command>) {
        let alone = self.peers.none_alive(now);
        let Some(roster) = &mut self.roster else {
            return;
        };
        let seeds = roster.ask(now, alone);
        let forgot = roster.expire(now);
        for address in seeds {
            if let Some(beat) = self.introduction_heartbeat(now) {
                let to = VmId(0);
                out.push(Command::Beat { to, address, beat });
            }
        }
        if forgot {
            self.rebuild_bundle(now, out);
        }
    }

    /// Pulls items from a peer that knows more.
    pub(super) fn pull_newer_items(&mut self, now: Time, beat: &Heartbeat, out: &mut Vec<Command>) {
        let mine = self.catalogue.head();
        if self.roster.is_none() || beat.head <= mine {
            return;
        }
        if let Some(address) = self.address_to_query(now, beat.from, self.pending_pull, beat.head) {
            self.pending_pull = Some((beat.head, now));
            out.push(Command::Pull {
                from: beat.from,
                address,
                since: mine,
            });
        }
    }

    /// Returns the addresses that a caller of a place should use, of ready nodes only.
    ///
    /// Nodes of the caller's region come first; where none of them is ready, nodes of this one.
    ///
    /// Callers spread their connections evenly over what they are told. Where nodes differ in what
    /// they can carry, each caller is told a few, the large ones more often; the same ones each time,
    /// since callers leave connections to nodes that are no longer named.
    #[must_use]
    pub fn directory(&self, now: Time, region: Option<RegionId>, caller: u64) -> Vec<SocketAddr> {
        /// Nodes that one caller is told of: enough to lose some, few enough to differ in weight.
        const TOLD: usize = 6;
        let mut nodes = self.nodes_for_callers(now, region);
        let even = nodes
            .windows(2)
            .all(|pair| pair[0].1.weight == pair[1].1.weight);
        if !even && nodes.len() > TOLD {
            let order = |(id, vm): &(VmId, &Vm)| weighted_rank(caller, u64::from(id.0), vm.weight);
            nodes.sort_by(|one, other| order(other).total_cmp(&order(one)));
            nodes.truncate(TOLD);
        }
        nodes.into_iter().map(|(_, vm)| vm.caller).collect()
    }

    /// Returns the nodes that callers of a place should use.
    fn nodes_for_callers(&self, now: Time, region: Option<RegionId>) -> Vec<(VmId, &Vm)> {
        let Some(bundle) = self.bundle.as_ref().filter(|_| self.configured()) else {
            return Vec::new();
        };
        let region = region.unwrap_or(self.id.region);
        let of = |wanted: RegionId| -> Vec<(VmId, &Vm)> {
            let vms = bundle.deployment.vms.iter().map(|(id, vm)| (*id, vm));
            vms.filter(|(id, vm)| vm.region == wanted && self.usable(now, *id))
                .collect()
        };
        let near = of(region);
        if near.is_empty() {
            of(self.id.region)
        } else {
            near
        }
    }
}
