//! Idempotency keys that this node decides on.
//!
//! An entry lives until its key expires. A full table refuses new keys; it never forgets early.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{Fingerprint, Reason, StoredAnswer, Time};

use crate::arrival::KeyName;
use crate::handle::Ticket;
use crate::refusal::Refusal;

/// How long a key made by a caller is remembered, unless the deployment says otherwise.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(600);
/// Most keys held.
pub const MOST_KEYS: usize = 100_000;
/// Most bytes of answers held.
pub const MOST_BYTES: usize = 48 << 20;
/// Largest answer kept, in bytes.
pub const LARGEST_ANSWER: usize = 256 << 10;

#[derive(Clone, Debug)]
enum State {
    /// The request waits or runs; repeats wait for its answer.
    Open { waiters: Vec<Ticket> },
    /// It ran whole.
    Complete(Option<Arc<StoredAnswer>>),
    /// It may have run.
    Unknown,
    /// It did not run and never will.
    Burnt(Reason),
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    state: State,
    until: Time,
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug)]
pub enum Claim {
    /// Run it: the key is new.
    Run,
    /// Wait for the request that holds the key.
    Join,
    /// Answer with the kept answer.
    Replay(Arc<StoredAnswer>),
    /// Answer without running.
    Refuse(Refusal),
}

/// How the request that held a key ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// It ran whole.
    Complete(Option<Arc<StoredAnswer>>),
    /// It may have run.
    Unknown,
    /// It did not run, and its key is never to run.
    Burnt(Reason),
    /// It did not run, and its key may be used again.
    Free,
}

/// Keys with the state of their requests.
#[derive(Clone, Debug)]
pub struct KeyTable {
    entries: BTreeMap<KeyName, Entry>,
    expiry: BTreeSet<(Time, KeyName)>,
    bytes: usize,
    most: usize,
    burnt: u64,
    window: Duration,
}

impl Default for KeyTable {
    fn default() -> Self {
        Self::new(MOST_KEYS)
    }
}

impl KeyTable {
    /// Returns an empty table for a number of keys.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            expiry: BTreeSet::new(),
            bytes: 0,
            most,
            burnt: 0,
            window: REPEAT_WINDOW,
        }
    }

    /// Sets how long keys made by callers are remembered.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Returns how long keys made by callers are remembered.
    #[must_use]
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Returns the number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tells whether a key is held.
    #[must_use]
    pub fn holds(&self, name: &KeyName) -> bool {
        self.entries.contains_key(name)
    }

    /// Decides on a request with a key and opens an entry if the key is new.
    ///
    /// ```
    /// use seam_core::arrival::KeyName;
    /// use seam_core::keys::{Claim, KeyTable};
    /// use seam_core::Ticket;
    /// use seam_protocol::{CustomerId, Fingerprint, Time};
    /// let mut table = KeyTable::new(1);
    /// let name = KeyName::Caller { customer: CustomerId(1), digest: 7 };
    /// let first = table.claim(Time(0), &name, Fingerprint(1), Ticket(1));
    /// assert!(matches!(first, Claim::Run));
    /// let repeat = table.claim(Time(1), &name, Fingerprint(1), Ticket(2));
    /// assert!(matches!(repeat, Claim::Join));
    /// ```
    pub fn claim(
        &mut self,
        now: Time,
        name: &KeyName,
        fingerprint: Fingerprint,
        ticket: Ticket,
    ) -> Claim {
        if let Some(entry) = self.entries.get_mut(name) {
            return entry.repeat(fingerprint, ticket);
        }
        if let KeyName::Issued(key) = name {
            if key.expiry <= now {
                return Claim::Refuse(Refusal::unknown(Reason::KeyInvalid));
            }
            if key.serial <= self.burnt {
                return Claim::Refuse(Refusal::not_run(Reason::KeysFull));
            }
        }
        if self.entries.len() >= self.most {
            return self.refuse_full(name);
        }
        let until = match name {
            KeyName::Issued(key) => key.expiry,
            KeyName::Caller { .. } => now + self.window,
        };
        let entry = Entry {
            fingerprint,
            state: State::Open {
                waiters: Vec::new(),
            },
            until,
        };
        self.expiry.insert((until, name.clone()));
        self.entries.insert(name.clone(), entry);
        Claim::Run
    }

    /// Refuses a key for lack of room.
    ///
    /// An earlier copy of the same request may still be on its way, so a key that was refused as
    /// not run must never run. Issued keys up to its serial number are burnt at once, which needs
    /// no entry. A caller's key cannot be burnt that way and stays unsettled.
    fn refuse_full(&mut self, name: &KeyName) -> Claim {
        const RETRY: Duration = Duration::from_secs(5);
        Claim::Refuse(match name {
            KeyName::Issued(key) => {
                self.burnt = self.burnt.max(key.serial);
                Refusal::not_run(Reason::KeysFull).with_retry_after(RETRY)
            }
            KeyName::Caller { .. } => Refusal::unknown(Reason::KeysFull).with_retry_after(RETRY),
        })
    }

    /// Settles a key. Returns the requests that waited for it.
    pub fn settle(&mut self, now: Time, name: &KeyName, ending: Ending) -> Vec<Ticket> {
        if matches!(ending, Ending::Free) {
            return self.remove(name);
        }
        let room = MOST_BYTES.saturating_sub(self.bytes);
        let Some(entry) = self.entries.get_mut(name) else {
            return Vec::new();
        };
        let state = match ending {
            Ending::Complete(answer) => {
                State::Complete(answer.filter(|answer| answer.bytes() <= room.min(LARGEST_ANSWER)))
            }
            Ending::Unknown => State::Unknown,
            Ending::Burnt(reason) => State::Burnt(reason),
            Ending::Free => unreachable!("a free key was removed above"),
        };
        if let State::Complete(Some(answer)) = &state {
            self.bytes += answer.bytes();
        }
        let before = std::mem::replace(&mut entry.state, state);
        if let KeyName::Caller { .. } = name {
            self.expiry.remove(&(entry.until, name.clone()));
            entry.until = now + self.window;
            self.expiry.insert((entry.until, name.clone()));
        }
        before.waiters()
    }

    fn remove(&mut self, name: &KeyName) -> Vec<Ticket> {
        let Some(entry) = self.entries.remove(name) else {
            return Vec::new();
        };
        self.expiry.remove(&(entry.until, name.clone()));
        if let State::Complete(Some(answer)) = &entry.state {
            self.bytes -= answer.bytes();
        }
        entry.state.waiters()
    }

    /// Drops a request that waited for a key.
    pub fn leave(&mut self, name: &KeyName, ticket: Ticket) {
        if let Some(Entry {
            state: State::Open { waiters },
            ..
        }) = self.entries.get_mut(name)
        {
            waiters.retain(|waiter| *waiter != ticket);
        }
    }

    /// Forgets settled keys that have expired. Open ones stay until they are settled.
    pub fn expire(&mut self, now: Time) {
        let due: Vec<KeyName> = self
            .expiry
            .iter()
            .take_while(|(until, _)| *until <= now)
            .map(|(_, name)| name.clone())
            .filter(|name| !matches!(self.entries[name].state, State::Open { .. }))
            .collect();
        for name in due {
            self.remove(&name);
        }
    }

    /// Returns what a repeat of a settled key is told, `None` while it is open or unknown here.
    #[must_use]
    pub fn verdict(&self, name: &KeyName) -> Option<Claim> {
        self.entries.get(name)?.verdict()
    }
}

impl Entry {
    fn repeat(&mut self, fingerprint: Fingerprint, ticket: Ticket) -> Claim {
        if self.fingerprint != fingerprint {
            return Claim::Refuse(Refusal::not_run(Reason::KeyReuse));
        }
        if let State::Open { waiters } = &mut self.state {
            waiters.push(ticket);
            return Claim::Join;
        }
        self.verdict()
            .unwrap_or(Claim::Refuse(Refusal::unknown(Reason::Broken)))
    }

    fn verdict(&self) -> Option<Claim> {
        match &self.state {
            State::Open { .. } => None,
            State::Complete(Some(answer)) => Some(Claim::Replay(answer.clone())),
            State::Complete(None) => Some(Claim::Refuse(Refusal {
                outcome: seam_protocol::Outcome::Complete,
                reason: Reason::NotKept,
                retry_after: None,
            })),
            State::Unknown => Some(Claim::Refuse(Refusal::unknown(Reason::Broken))),
            State::Burnt(reason) => Some(Claim::Refuse(Refusal::not_run(*reason))),
        }
    }
}

impl State {
    fn waiters(self) -> Vec<Ticket> {
        match self {
            Self::Open { waiters } => waiters,
            _ => Vec::new(),
        }
    }
}
