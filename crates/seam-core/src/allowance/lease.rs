//! To which coordinator a node lends its share of the allowances, and whom it asks for tokens.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::id::weighted_rank;
use seam_protocol::{Incarnation, Time, Vm, VmId};

use super::LEASE;
use super::balance::OwnShare;

/// Time without an answer after which a node asks another coordinator. It covers one lost datagram.
const ANSWER_LIMIT: Duration = Duration::from_millis(750);
/// Time after a start before the share is used: the lease of the previous process on the VM has ended then.
const START_WAIT: Duration = Duration::from_millis(1250);
/// Time after a start within which a node learns of the other nodes.
const START_TIME: Duration = Duration::from_secs(10);
/// Time for which the number of known nodes must not have grown within the [`START_TIME`].
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Nodes that are assumed while a node has heard of no other one, although it was given seeds.
const ASSUMED_NODES: usize = 64;
/// Time for which they are assumed, after which a node forgets others that it does not hear either.
const ASSUMED_TIME: Duration = Duration::from_secs(600);
/// Time between two checks of a preferred coordinator that did not answer.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Key of the rendezvous hashing.
const RANK_KEY: u64 = 0x616c_6c6f_7761_6e63;

/// The lease of this node's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lent {
    to: (VmId, Incarnation),
    until: Time,
}

/// The share of this node, its lease and the choice of the coordinator.
#[derive(Clone, Debug)]
pub struct Lender {
    boot: Time,
    known: usize,
    /// When the number of known nodes last grew.
    grown: Time,
    lent: Option<Lent>,
    /// Since when the share has been this node's own.
    own_since: Time,
    /// Coordinator that was asked last.
    asked: Option<VmId>,
    /// First report to it without an answer.
    unanswered: Option<Time>,
    /// Coordinators that did not answer, and when each was last checked.
    silent: BTreeMap<VmId, Time>,
}

impl Lender {
    /// Creates the state of a process that starts now.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            boot: now,
            known: 1,
            grown: now,
            lent: None,
            own_since: now + START_WAIT,
            asked: None,
            unanswered: None,
            silent: BTreeMap::new(),
        }
    }

    /// Sets the number of known nodes, alive or not, including this one. `unheard` is the number of seeds if
    /// this node has heard of no other node.
    pub fn set_known(&mut self, now: Time, known: usize, unheard: usize) {
        let assumed = unheard > 0 && now.since(self.boot) < ASSUMED_TIME;
        let known = if assumed {
            known.max(ASSUMED_NODES)
        } else {
            known.max(1)
        };
        let starting = now.since(self.boot) < START_TIME;
        if known != self.known && starting {
            self.grown = now;
            self.own_since = self.own_since.max(now + SETTLE_TIME);
        }
        self.known = known;
    }

    /// Returns the number of known nodes.
    #[must_use]
    pub fn known(&self) -> usize {
        self.known
    }

    /// Returns this node's share of each allowance.
    #[must_use]
    pub fn share(&self) -> f64 {
        super::share(self.known)
    }

    fn settled(&self, now: Time) -> bool {
        let grown = self.grown > self.boot && now.since(self.grown) < SETTLE_TIME;
        let starting = now.since(self.boot) < START_TIME;
        now.since(self.boot) >= START_WAIT && !(starting && grown)
    }

    /// Returns the own share, if it may be used.
    ///
    /// ```
    /// use seam_core::allowance::lease::Lender;
    /// use seam_protocol::{Incarnation, Time, VmId};
    /// let mut lender = Lender::new(Time(0));
    /// assert!(lender.own(Time(1_000_000)).is_none());
    /// assert!(lender.own(Time(2_000_000)).is_some());
    /// assert!(lender.lend(Time(2_000_000), (VmId(1), Incarnation(1))));
    /// assert!(lender.own(Time(3_100_000)).is_none());
    /// assert!(lender.own(Time(3_200_000)).is_some());
    /// ```
    pub fn own(&mut self, now: Time) -> Option<OwnShare> {
        if let Some(lent) = self.lent
            && lent.until <= now
        {
            self.own_since = self.own_since.max(lent.until);
            self.lent = None;
        }
        let free = self.lent.is_none() && self.settled(now) && self.own_since <= now;
        free.then(|| OwnShare {
            share: self.share(),
            since: self.own_since,
        })
    }

    /// Lends the share to a process, or renews its lease. Returns false if the share is lent to another one, or
    /// may not be used yet.
    pub fn lend(&mut self, now: Time, to: (VmId, Incarnation)) -> bool {
        let own = self.own(now).is_some();
        let renews = self.lent.is_some_and(|lent| lent.to == to);
        if own || renews {
            let until = now + LEASE;
            self.lent = Some(Lent { to, until });
        }
        own || renews
    }

    /// Returns to whom the share is lent.
    pub fn lent_to(&mut self, now: Time) -> Option<VmId> {
        let _ = self.own(now);
        self.lent.map(|lent| lent.to.0)
    }

    /// Chooses the coordinator among the nodes, of which `usable` says whether they seem alive and ready. A node
    /// that holds the lease is asked until it ends.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        vms: impl Iterator<Item = (&'a VmId, &'a Vm)>,
        usable: impl Fn(VmId) -> bool,
    ) -> Option<(VmId, VmId)> {
        let usable = |vm: VmId| !self.silent.contains_key(&vm) && usable(vm);
        let candidates = vms.map(|(id, vm)| (*id, rank(*id, vm.weight)));
        let candidates = candidates.filter(|(id, _)| usable(*id));
        let best = candidates.max_by(|(_, one), (_, other)| one.total_cmp(other));
        let best = best.map(|(id, _)| id)?;
        let lent = self.lent_to(now);
        let holder = lent.filter(|vm| !self.silent.contains_key(vm));
        Some((best, holder.unwrap_or(best)))
    }

    /// Records a report to a coordinator. Returns the one that was asked before if it is another.
    pub fn note_asked(&mut self, now: Time, vm: VmId) -> Option<Option<VmId>> {
        let changed = self.asked != Some(vm);
        let before = self.asked.replace(vm);
        if changed {
            self.unanswered = None;
        }
        self.unanswered.get_or_insert(now);
        changed.then_some(before)
    }

    /// Returns whether the last report to a coordinator has been answered, or was just sent, so that its lease
    /// may be renewed.
    #[must_use]
    pub fn renewable(&self, now: Time) -> bool {
        const OVERDUE: Duration = Duration::from_millis(400);
        self.unanswered
            .is_none_or(|since| now.since(since) < OVERDUE)
    }

    /// Records an answer.
    pub fn note_answer(&mut self, vm: VmId) {
        self.silent.remove(&vm);
        if self.asked == Some(vm) {
            self.unanswered = None;
        }
    }

    /// Returns whether the coordinator has not answered for so long that another one is asked from now on.
    pub fn check_answer(&mut self, now: Time) -> bool {
        let late = |since: &Time| now.since(*since) >= ANSWER_LIMIT;
        let (Some(vm), Some(_)) = (self.asked, self.unanswered.filter(late)) else {
            return false;
        };
        self.silent.insert(vm, now);
        self.unanswered = None;
        true
    }

    /// Returns a preferred coordinator that did not answer, if it is time to check whether it does now.
    pub fn due_check<'a>(
        &mut self,
        now: Time,
        vms: impl Iterator<Item = (&'a VmId, &'a Vm)>,
    ) -> Option<VmId> {
        let vms: BTreeMap<VmId, u32> = vms.map(|(id, vm)| (*id, vm.weight)).collect();
        self.silent.retain(|vm, _| vms.contains_key(vm));
        let ranked = |vm: &VmId| rank(*vm, vms[vm]);
        let best = self.silent.keys().copied();
        let best = best.max_by(|one, other| ranked(one).total_cmp(&ranked(other)))?;
        let checked = self.silent.get_mut(&best)?;
        let due = now.since(*checked) >= CHECK_INTERVAL;
        if due {
            *checked = now;
        }
        due.then_some(best)
    }

    /// Returns the coordinator that was asked last.
    #[must_use]
    pub fn coordinator(&self) -> Option<VmId> {
        self.asked
    }
}

fn rank(vm: VmId, weight: u32) -> f64 {
    weighted_rank(RANK_KEY, u64::from(vm.0), weight)
}
