//! Who the nodes are, where no list of them is published.
//!
//! A node knows a few seeds, which may be stale. It tells them its own address, and every heartbeat
//! carries addresses of others, so that each node soon knows all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use seam_protocol::{Time, Vm, VmId};

/// Time between two calls to seeds by a node that hears of nobody.
const ASK_ALONE: Duration = Duration::from_millis(250);
/// Time between two calls to seeds that are not known as nodes.
const ASK_AGAIN: Duration = Duration::from_secs(5);
/// Time after which a node that was not heard is forgotten.
const FORGET: Duration = Duration::from_secs(600);
/// Time after which a node that others named but that was never heard is forgotten.
const FORGET_UNHEARD: Duration = Duration::from_secs(60);
/// Age of a node's own word up to which it is passed on.
const PASS_ON: Duration = Duration::from_secs(300);
/// Addresses of others in one heartbeat.
const CARDS: usize = 3;
/// Addresses of others in an answer to a node that was not known.
const WELCOME: usize = 100;

#[derive(Clone, Debug)]
struct Known {
    vm: Vm,
    noted: Time,
    /// When it was last heard itself.
    heard: Option<Time>,
}

impl Known {
    fn lasts(&self, now: Time) -> bool {
        match self.heard {
            Some(heard) => now.since(heard) < FORGET,
            None => now.since(self.noted) < FORGET_UNHEARD,
        }
    }
}

/// The nodes of the deployment, by their own word.
#[derive(Clone, Debug)]
pub struct Roster {
    me: VmId,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<VmId, Known>,
    asked: Option<Time>,
    turn: usize,
}

impl Roster {
    /// Starts with this node alone.
    #[must_use]
    pub fn new(now: Time, own: Vm, seeds: Vec<SocketAddr>) -> Self {
        let me = VmId::of(&own.name);
        let seeds = seeds.into_iter().filter(|seed| *seed != own.peer).collect();
        let known = BTreeMap::from([(
            me,
            Known {
                vm: own,
                noted: now,
                heard: None,
            },
        )]);
        Self {
            me,
            seeds,
            known,
            asked: None,
            turn: 0,
        }
    }

    /// Takes in the word of a node on itself. Returns whether it is news.
    pub fn record_direct(&mut self, now: Time, vm: &Vm) -> bool {
        let id = VmId::of(&vm.name);
        if id == self.me {
            return false;
        }
        let news = self.known.get(&id).is_none_or(|known| known.vm != *vm);
        let known = Known {
            vm: vm.clone(),
            noted: now,
            heard: Some(now),
        };
        self.known.insert(id, known);
        news
    }

    /// Takes in the word of a third node. What is known already stays. Returns whether it is news.
    pub fn record_indirect(&mut self, now: Time, vm: &Vm) -> bool {
        let id = VmId::of(&vm.name);
        if self.known.contains_key(&id) {
            return false;
        }
        let known = Known {
            vm: vm.clone(),
            noted: now,
            heard: None,
        };
        self.known.insert(id, known);
        true
    }

    /// Returns the seeds to call now.
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
    /// assert!(roster.record_direct(Time(2), &vm("b", "127.0.0.1:2")));
    /// assert!(roster.due_seeds(Time(9_000_000), false).is_empty());
    /// ```
    pub fn due_seeds(&mut self, now: Time, alone: bool) -> Vec<SocketAddr> {
        let pause = if alone { ASK_ALONE } else { ASK_AGAIN };
        if self.asked.is_some_and(|asked| now.since(asked) < pause) {
            return Vec::new();
        }
        self.asked = Some(now);
        let known = |seed: &SocketAddr| self.known.values().any(|known| known.vm.peer == *seed);
        let seeds = self.seeds.iter().copied();
        seeds.filter(|seed| alone || !known(seed)).collect()
    }

    /// Returns this node's address and those of some others, in turn.
    pub fn shared_addresses(&mut self, now: Time, welcome: bool) -> Vec<Vm> {
        let own = self.known[&self.me].vm.clone();
        let others: Vec<&Known> = self
            .known
            .iter()
            .filter(|(id, _)| **id != self.me)
            .map(|(_, known)| known)
            .filter(|known| known.heard.is_some_and(|heard| now.since(heard) < PASS_ON))
            .collect();
        let most = if welcome { WELCOME } else { CARDS }.min(others.len());
        self.turn += most;
        let turn = self.turn;
        let some = (0..most).map(|step| others[(turn + step) % others.len()].vm.clone());
        std::iter::once(own).chain(some).collect()
    }

    /// Forgets nodes that were not heard of for long. Returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let (me, before) = (self.me, self.known.len());
        self.known.retain(|id, known| *id == me || known.lasts(now));
        self.known.len() < before
    }

    /// Returns the nodes.
    #[must_use]
    pub fn vms(&self) -> BTreeMap<VmId, Vm> {
        let known = self.known.iter();
        known.map(|(id, known)| (*id, known.vm.clone())).collect()
    }
}
