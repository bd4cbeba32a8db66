//! To which coordinators a node lends the parts of its share of the allowances, and whom it asks for tokens.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::id::{rank, weighted_rank};
use seam_protocol::{Incarnation, RegionId, Time, Vm, VmId};

use super::balance::OwnShare;
use super::{COORDINATORS, LEASE, MAX_WAIT};

/// Time without an answer after which a node asks another coordinator. It covers two lost datagrams.
const ANSWER_LIMIT: Duration = Duration::from_millis(650);
/// Time after a start before the share is used: the lease of the previous process on the VM has ended then.
const START_WAIT: Duration = Duration::from_millis(2350);
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
/// Nodes of a region that did not answer after which none of the others is asked for the first time.
const LOST_REGION: usize = 2;
/// Key of the rendezvous hashing.
const RANK_KEY: u64 = 0x616c_6c6f_7761_6e63;
/// Key by which nodes are assigned to the parts of the shares.
const PART_KEY: u64 = 0x7061_7274;

/// The lease of a part of this node's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lent {
    to: (VmId, Incarnation),
    until: Time,
}

/// A part of this node's share.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    lent: Option<Lent>,
    /// Since when it has been this node's own.
    own_since: Time,
    /// Coordinator that was asked last.
    asked: Option<VmId>,
    /// First report to it without an answer.
    unanswered: Option<Time>,
}

/// The share of this node, its leases and the choice of the coordinators.
#[derive(Clone, Debug)]
pub struct Lender {
    boot: Time,
    known: usize,
    /// When the number of known nodes last changed.
    changed: Time,
    parts: [Part; COORDINATORS],
    /// Coordinators that did not answer, and when each was last checked.
    silent: BTreeMap<VmId, Time>,
}

impl Lender {
    /// Creates the state of a process that starts now.
    #[must_use]
    pub fn new(now: Time) -> Self {
        let part = Part {
            own_since: now + START_WAIT,
            ..Part::default()
        };
        Self {
            boot: now,
            known: 1,
            changed: now,
            parts: [part; COORDINATORS],
            silent: BTreeMap::new(),
        }
    }

    /// Returns the longest time that a request waits for tokens. A new process has no tokens of its own, and nodes that do
    /// not know it yet do not answer it, so requests may wait until it has started.
    #[must_use]
    pub fn longest_wait(&self, now: Time) -> Duration {
        START_WAIT
            .saturating_sub(now.since(self.boot))
            .max(MAX_WAIT)
    }

    /// Sets the number of known nodes, alive or not, including this one. `unheard` is the number of seeds if
    /// this node has heard of no other node.
    ///
    /// ```
    /// use seam_core::allowance::{lease::Lender, share};
    /// use seam_protocol::Time;
    /// let mut lender = Lender::new(Time(0));
    /// lender.set_known(Time(1), 1, 3);
    /// assert!(lender.part_share() < 0.01);
    /// lender.set_known(Time(2), 4, 0);
    /// assert!((2.0 * lender.part_share() - share(4)).abs() < 1e-9);
    /// ```
    pub fn set_known(&mut self, now: Time, known: usize, unheard: usize) {
        let assumed = unheard > 0 && now.since(self.boot) < ASSUMED_TIME;
        let known = if assumed {
            known.max(ASSUMED_NODES)
        } else {
            known.max(1)
        };
        if known != self.known && now.since(self.boot) < START_TIME {
            self.changed = now;
            for part in &mut self.parts {
                part.own_since = part.own_since.max(now + SETTLE_TIME);
            }
        }
        self.known = known;
    }

    /// Returns the number of known nodes.
    #[must_use]
    pub fn known(&self) -> usize {
        self.known
    }

    /// Returns the size of a part of this node's share of each allowance.
    #[must_use]
    pub fn part_share(&self) -> f64 {
        super::share(self.known) / COORDINATORS as f64
    }

    /// Returns whether a part may be used or lent, and ends its lease if it is over.
    fn free(&mut self, now: Time, part: usize) -> bool {
        let part = &mut self.parts[part];
        if let Some(lent) = part.lent
            && lent.until <= now
        {
            part.own_since = part.own_since.max(lent.until);
            part.lent = None;
        }
        part.lent.is_none() && part.own_since <= now
    }

    /// Returns the parts of the share that are not lent, if there are any.
    ///
    /// ```
    /// use seam_core::allowance::lease::Lender;
    /// use seam_protocol::{Incarnation, Time, VmId};
    /// let mut lender = Lender::new(Time(0));
    /// assert!(lender.own(Time(1_000_000)).is_none());
    /// let whole = lender.own(Time(3_000_000)).unwrap().share;
    /// assert!(lender.lend(Time(3_000_000), 0, (VmId(1), Incarnation(1))));
    /// assert!(!lender.lend(Time(3_000_000), 0, (VmId(2), Incarnation(1))));
    /// assert_eq!(lender.own(Time(5_000_000)).unwrap().share, whole / 2.0);
    /// assert_eq!(lender.own(Time(5_300_000)).unwrap().share, whole);
    /// ```
    pub fn own(&mut self, now: Time) -> Option<OwnShare> {
        let size = self.part_share();
        let mut own: Option<OwnShare> = None;
        for part in 0..COORDINATORS {
            if self.free(now, part) {
                // Counted from when all of it has been free.
                let since = self.parts[part].own_since;
                let known = own.map_or((0.0, since), |own| (own.share, own.since));
                own = Some(OwnShare {
                    share: known.0 + size,
                    since: known.1.max(since),
                });
            }
        }
        own
    }

    /// Lends a part of the share to a process, or renews its lease. Returns false if the part is lent to another
    /// one, or may not be used yet.
    pub fn lend(&mut self, now: Time, part: usize, to: (VmId, Incarnation)) -> bool {
        let free = self.free(now, part);
        let part = &mut self.parts[part];
        let lends = free || part.lent.is_some_and(|lent| lent.to == to);
        if lends {
            let until = now + LEASE;
            part.lent = Some(Lent { to, until });
        }
        lends
    }

    /// Returns to whom a part of the share is lent.
    pub fn lent_to(&mut self, now: Time, part: usize) -> Option<VmId> {
        let _ = self.free(now, part);
        self.parts[part].lent.map(|lent| lent.to.0)
    }

    /// Chooses the coordinator of a part among the nodes, of which `usable` says whether they seem alive and
    /// ready. Returns it, and the node to ask: one that holds the lease is asked until the lease ends.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        part: usize,
        vms: impl Iterator<Item = (&'a VmId, &'a Vm)>,
        usable: impl Fn(VmId) -> bool,
    ) -> Option<(VmId, VmId)> {
        let vms: Vec<(VmId, &Vm)> = vms.map(|(id, vm)| (*id, vm)).collect();
        let silent = |id: VmId| self.silent.contains_key(&id);
        let mut silent_in: BTreeMap<RegionId, usize> = BTreeMap::new();
        for (_, vm) in vms.iter().filter(|(id, _)| silent(*id)) {
            *silent_in.entry(vm.region).or_default() += 1;
        }
        let lost = |region| {
            silent_in
                .get(&region)
                .is_some_and(|count| *count >= LOST_REGION)
        };
        let asked = self.parts.map(|part| part.asked);
        let seems =
            |id: VmId, vm: &Vm| asked.contains(&Some(id)) || (usable(id) && !lost(vm.region));
        let candidates = vms.into_iter();
        let candidates = candidates.filter(|(id, vm)| !silent(*id) && seems(*id, vm));
        let candidates = candidates.map(|(id, vm)| (id, preference(id, vm.weight)));
        let mut candidates: Vec<(VmId, f64)> = candidates.collect();
        candidates.sort_by(|(_, one), (_, other)| other.total_cmp(one));
        // Each node belongs to one part, so that another coordinator of a part does not move the other part.
        let of_part = |vm: &VmId| rank(PART_KEY, u64::from(vm.0)) as usize % COORDINATORS == part;
        let ids = || candidates.iter().map(|(id, _)| *id);
        let best = ids().find(of_part).or_else(|| ids().nth(1))?;
        let holder = self.lent_to(now, part);
        let holder = holder.filter(|vm| !self.silent.contains_key(vm));
        Some((best, holder.unwrap_or(best)))
    }

    /// Records a report to the coordinator of a part. Returns the one that was asked before if it is another.
    pub fn note_asked(&mut self, now: Time, part: usize, vm: VmId) -> Option<Option<VmId>> {
        let part = &mut self.parts[part];
        let changed = part.asked != Some(vm);
        let before = part.asked.replace(vm);
        if changed {
            part.unanswered = None;
        }
        part.unanswered.get_or_insert(now);
        changed.then_some(before)
    }

    /// Returns the time since the first report to the coordinator of a part without an answer.
    #[must_use]
    pub fn unanswered(&self, now: Time, part: usize) -> Duration {
        let since = self.parts[part].unanswered;
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Records an answer.
    pub fn note_answer(&mut self, vm: VmId) {
        self.silent.remove(&vm);
        for part in &mut self.parts {
            if part.asked == Some(vm) {
                part.unanswered = None;
            }
        }
    }

    /// Returns whether the coordinator of a part has not answered for so long that another one is asked from now
    /// on.
    pub fn check_answer(&mut self, now: Time, part: usize) -> bool {
        // Nodes that do not know a new process yet do not answer it.
        let started = now.since(self.boot) >= START_WAIT;
        let late = started && self.unanswered(now, part) >= ANSWER_LIMIT;
        let part = &mut self.parts[part];
        if let Some(vm) = part.asked.filter(|_| late) {
            self.silent.insert(vm, now);
            part.unanswered = None;
        }
        late
    }

    /// Returns a coordinator that did not answer, if it is time to check whether it does now: the preferred one.
    pub fn due_check<'a>(
        &mut self,
        now: Time,
        vms: impl Iterator<Item = (&'a VmId, &'a Vm)>,
    ) -> Option<VmId> {
        let vms: BTreeMap<VmId, u32> = vms.map(|(id, vm)| (*id, vm.weight)).collect();
        self.silent.retain(|vm, _| vms.contains_key(vm));
        let due = |(_, checked): &(&VmId, &Time)| now.since(**checked) >= CHECK_INTERVAL;
        let due = self.silent.iter().filter(due).map(|(vm, _)| *vm);
        let preferred = |vm: &VmId| preference(*vm, vms[vm]);
        let best = due.max_by(|one, other| preferred(one).total_cmp(&preferred(other)))?;
        self.silent.insert(best, now);
        Some(best)
    }

    /// Returns the coordinators that were asked last.
    #[must_use]
    pub fn coordinators(&self) -> [Option<VmId>; COORDINATORS] {
        self.parts.map(|part| part.asked)
    }
}

fn preference(vm: VmId, weight: u32) -> f64 {
    weighted_rank(RANK_KEY, u64::from(vm.0), weight)
}
