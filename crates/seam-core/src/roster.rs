//! Node discovery for deployments without a published member list.
//!
//! A node starts with a few seed addresses, which may be out of date. It sends its own address to
//! them, and every heartbeat carries addresses of other nodes, so addresses spread to all nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use seam_protocol::{Time, Vm, VmId};

/// Time between two heartbeats to the seeds while no other node is alive.
const SEED_INTERVAL_ALONE: Duration = Duration::from_millis(250);
/// Time between two heartbeats to seeds whose address belongs to no known node.
const SEED_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a heartbeat after which a node is removed.
const MEMBER_LIFETIME: Duration = Duration::from_secs(600);
/// Time after which a node is removed if only other nodes have reported it.
const UNCONFIRMED_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum age of a node's last heartbeat for its address to be shared.
const MAX_SHARED_AGE: Duration = Duration::from_secs(300);
/// Maximum number of other addresses in a heartbeat.
const MAX_SHARED: usize = 3;
/// The same maximum in the reply to a node that does not know this process yet.
const MAX_SHARED_TO_NEW: usize = 100;

/// Maximum number of known nodes, several times that of the largest deployment.
const MAX_MEMBERS: usize = 1024;
/// Maximum length of a node's name in bytes.
const MAX_NAME_BYTES: usize = 256;

#[derive(Clone, Debug)]
struct Member {
    vm: Vm,
    recorded: Time,
    /// When its last own heartbeat arrived.
    last_heartbeat: Option<Time>,
}

impl Member {
    fn is_current(&self, now: Time) -> bool {
        match self.last_heartbeat {
            Some(time) => now.since(time) < MEMBER_LIFETIME,
            None => now.since(self.recorded) < UNCONFIRMED_LIFETIME,
        }
    }
}

/// The known nodes of the deployment.
#[derive(Clone, Debug)]
pub struct Roster {
    me: VmId,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<VmId, Member>,
    seeds_sent: Option<Time>,
    offset: usize,
}

impl Roster {
    /// Creates a roster that contains only this node.
    #[must_use]
    pub fn new(now: Time, own: Vm, seeds: Vec<SocketAddr>) -> Self {
        let me = VmId::of(&own.name);
        let seeds = seeds.into_iter().filter(|seed| *seed != own.peer).collect();
        let known = BTreeMap::from([(
            me,
            Member {
                vm: own,
                recorded: now,
                last_heartbeat: None,
            },
        )]);
        Self {
            me,
            seeds,
            known,
            seeds_sent: None,
            offset: 0,
        }
    }

    /// Makes room for a node. One that nobody has heard itself gives way if `heard`.
    fn has_room(&mut self, name: &str, heard: bool) -> bool {
        if name.len() > MAX_NAME_BYTES {
            return false;
        }
        if self.known.len() < MAX_MEMBERS {
            return true;
        }
        let me = self.me;
        let unheard = self
            .known
            .iter()
            .find(|(id, known)| **id != me && known.last_heartbeat.is_none());
        let unheard = unheard.map(|(id, _)| *id).filter(|_| heard);
        unheard.is_some_and(|id| self.known.remove(&id).is_some())
    }

    /// Records the address that a node reports for itself. Returns whether it was new or changed.
    pub fn record_direct(&mut self, now: Time, vm: &Vm) -> bool {
        let id = VmId::of(&vm.name);
        if id == self.me {
            return false;
        }
        if !self.known.contains_key(&id) && !self.has_room(&vm.name, true) {
            return false;
        }
        let changed = self.known.get(&id).is_none_or(|known| known.vm != *vm);
        let known = Member {
            vm: vm.clone(),
            recorded: now,
            last_heartbeat: Some(now),
        };
        self.known.insert(id, known);
        changed
    }

    /// Records an address that a third node reports, unless the node is known. Returns whether it
    /// was new.
    pub fn record_indirect(&mut self, now: Time, vm: &Vm) -> bool {
        let id = VmId::of(&vm.name);
        if self.known.contains_key(&id) || !self.has_room(&vm.name, false) {
            return false;
        }
        let known = Member {
            vm: vm.clone(),
            recorded: now,
            last_heartbeat: None,
        };
        self.known.insert(id, known);
        true
    }

    /// Returns the seeds to send a heartbeat to now. `alone` means that no other node is alive.
    ///
    /// ```
    /// use seam_core::roster::Roster;
    /// use seam_protocol::{CentreId, RegionId, Time, Vm};
    /// let vm = |name: &str, peer: &str| Vm {
    ///     name: name.into(), region: RegionId(1), centre: CentreId(1),
    ///     caller: peer.parse().unwrap(), peer: peer.parse().unwrap(), weight: 1,
    /// };
    /// let seeds = vec!["127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap()];
    /// let mut roster = Roster::new(Time(0), vm("a", "127.0.0.1:1"), seeds);
    /// assert_eq!(roster.due_seeds(Time(0), true).len(), 1);
    /// assert!(roster.due_seeds(Time(1), true).is_empty());
    /// assert_eq!(roster.unheard_seeds(), 1);
    /// assert!(roster.record_direct(Time(2), &vm("b", "127.0.0.1:2")));
    /// assert_eq!(roster.unheard_seeds(), 0);
    /// assert!(roster.due_seeds(Time(9_000_000), false).is_empty());
    /// ```
    pub fn due_seeds(&mut self, now: Time, alone: bool) -> Vec<SocketAddr> {
        let interval = if alone {
            SEED_INTERVAL_ALONE
        } else {
            SEED_INTERVAL
        };
        if self
            .seeds_sent
            .is_some_and(|sent| now.since(sent) < interval)
        {
            return Vec::new();
        }
        self.seeds_sent = Some(now);
        let known = |seed: &SocketAddr| self.known.values().any(|known| known.vm.peer == *seed);
        let seeds = self.seeds.iter().copied();
        seeds.filter(|seed| alone || !known(seed)).collect()
    }

    /// Returns the VM of this node, followed by those of some other nodes in rotation.
    ///
    /// `new_node` raises the limit for a receiver that does not know this process yet.
    pub fn shared_vms(&mut self, now: Time, new_node: bool) -> Vec<Vm> {
        let own = self.known[&self.me].vm.clone();
        let others: Vec<&Member> = self
            .known
            .iter()
            .filter(|(id, _)| **id != self.me)
            .map(|(_, known)| known)
            .filter(|known| {
                known
                    .last_heartbeat
                    .is_some_and(|time| now.since(time) < MAX_SHARED_AGE)
            })
            .collect();
        let count = if new_node {
            MAX_SHARED_TO_NEW
        } else {
            MAX_SHARED
        }
        .min(others.len());
        self.offset += count;
        let offset = self.offset;
        let some = (0..count).map(|step| others[(offset + step) % others.len()].vm.clone());
        std::iter::once(own).chain(some).collect()
    }

    /// Removes nodes that are out of date. Returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let (me, before) = (self.me, self.known.len());
        self.known
            .retain(|id, known| *id == me || known.is_current(now));
        self.known.len() < before
    }

    /// Returns the number of seeds while this node has heard of no other node. Each of them may be one.
    #[must_use]
    pub fn unheard_seeds(&self) -> usize {
        if self.known.len() > 1 {
            0
        } else {
            self.seeds.len()
        }
    }

    /// Returns the known nodes, including this one.
    #[must_use]
    pub fn vms(&self) -> BTreeMap<VmId, Vm> {
        let known = self.known.iter();
        known.map(|(id, known)| (*id, known.vm.clone())).collect()
    }
}
