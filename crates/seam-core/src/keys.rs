//! The idempotency keys that this node is responsible for.
//!
//! An entry stays until its key expires. A full table refuses new keys instead of evicting old
//! ones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{Fingerprint, Reason, StoredResponse, Time};

use crate::arrival::IdempotencyKey;
use crate::handle::Ticket;
use crate::refusal::Refusal;

/// Default time for which a caller's key is kept, if the deployment does not set one.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(600);
/// Default maximum number of keys in a table.
pub const MAX_KEYS: usize = 100_000;
/// Maximum total size of stored responses, in bytes.
pub const MAX_STORED_BYTES: usize = 48 << 20;
/// Maximum size of one stored response, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 256 << 10;

#[derive(Clone, Debug)]
enum State {
    /// The request is queued or running. Repeats wait for its response.
    Open { waiters: Vec<Ticket> },
    /// It ran to completion.
    Complete(Option<Arc<StoredResponse>>),
    /// It may have run.
    Unknown,
    /// It did not run, and the key can no longer be used.
    Revoked(Reason),
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    state: State,
    expires: Time,
}

/// How to handle a request with a key.
#[derive(Clone, Debug)]
pub enum Claim {
    /// Run it, because the key is new.
    Run,
    /// Wait for the unfinished request with the same key.
    Join,
    /// Return the stored response.
    Replay(Arc<StoredResponse>),
    /// Respond with a refusal, without running it.
    Refuse(Refusal),
}

/// How the request that claimed a key ended.
#[derive(Clone, Debug)]
pub enum KeyOutcome {
    /// It ran to completion.
    Complete(Option<Arc<StoredResponse>>),
    /// It may have run.
    Unknown,
    /// It did not run, and its key must never be used again.
    Revoked(Reason),
    /// It did not run, and its key may be used again.
    Released,
}

/// Idempotency keys with the state of their requests.
#[derive(Clone, Debug)]
pub struct KeyTable {
    entries: BTreeMap<IdempotencyKey, Entry>,
    expiry: BTreeSet<(Time, IdempotencyKey)>,
    response_bytes: usize,
    capacity: usize,
    revoked_serial: u64,
    window: Duration,
}

impl Default for KeyTable {
    fn default() -> Self {
        Self::new(MAX_KEYS)
    }
}

impl KeyTable {
    /// Creates an empty table for at most `capacity` keys.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            expiry: BTreeSet::new(),
            response_bytes: 0,
            capacity,
            revoked_serial: 0,
            window: REPEAT_WINDOW,
        }
    }

    /// Sets how long keys of callers are kept.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Returns how long keys of callers are kept.
    #[must_use]
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Returns the number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the table contains a key.
    #[must_use]
    pub fn holds(&self, key: &IdempotencyKey) -> bool {
        self.entries.contains_key(key)
    }

    /// Decides how to handle a request with a key, and adds an entry if the key is new.
    ///
    /// ```
    /// use seam_core::arrival::IdempotencyKey;
    /// use seam_core::keys::{Claim, KeyTable};
    /// use seam_core::Ticket;
    /// use seam_protocol::{CustomerId, Fingerprint, Time};
    /// let mut table = KeyTable::new(1);
    /// let key = IdempotencyKey::Caller { customer: CustomerId(1), digest: 7 };
    /// let first = table.claim(Time(0), &key, Fingerprint(1), Ticket(1));
    /// assert!(matches!(first, Claim::Run));
    /// let repeat = table.claim(Time(1), &key, Fingerprint(1), Ticket(2));
    /// assert!(matches!(repeat, Claim::Join));
    /// ```
    pub fn claim(
        &mut self,
        now: Time,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
        ticket: Ticket,
    ) -> Claim {
        if let Some(entry) = self.entries.get_mut(key) {
            return entry.claim_again(fingerprint, ticket);
        }
        if let IdempotencyKey::Issued(issued) = key {
            if issued.expiry <= now {
                return Claim::Refuse(Refusal::unknown(Reason::KeyInvalid));
            }
            if issued.serial <= self.revoked_serial {
                return Claim::Refuse(Refusal::not_run(Reason::KeysFull));
            }
        }
        if self.entries.len() >= self.capacity {
            return self.refuse_full(key);
        }
        let expires = match key {
            IdempotencyKey::Issued(issued) => issued.expiry,
            IdempotencyKey::Caller { .. } => now + self.window,
        };
        let entry = Entry {
            fingerprint,
            state: State::Open {
                waiters: Vec::new(),
            },
            expires,
        };
        self.expiry.insert((expires, key.clone()));
        self.entries.insert(key.clone(), entry);
        Claim::Run
    }

    /// Refuses a key because the table is full.
    ///
    /// An earlier copy of the same request may still be in transit, so a key that was refused as
    /// not run must never run later. All issued keys up to its serial number are revoked, which
    /// needs no entry. A caller's key cannot be revoked that way, so its outcome is reported as
    /// unknown.
    fn refuse_full(&mut self, key: &IdempotencyKey) -> Claim {
        const RETRY: Duration = Duration::from_secs(5);
        Claim::Refuse(match key {
            IdempotencyKey::Issued(issued) => {
                self.revoked_serial = self.revoked_serial.max(issued.serial);
                Refusal::not_run(Reason::KeysFull).with_retry_after(RETRY)
            }
            IdempotencyKey::Caller { .. } => {
                Refusal::unknown(Reason::KeysFull).with_retry_after(RETRY)
            }
        })
    }

    /// Records the outcome of a key's request. Returns the requests that waited for it.
    pub fn settle(&mut self, now: Time, key: &IdempotencyKey, outcome: KeyOutcome) -> Vec<Ticket> {
        if matches!(outcome, KeyOutcome::Released) {
            return self.remove(key);
        }
        let free_bytes = MAX_STORED_BYTES.saturating_sub(self.response_bytes);
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        let state = match outcome {
            KeyOutcome::Complete(response) => State::Complete(
                response
                    .filter(|response| response.byte_size() <= free_bytes.min(MAX_RESPONSE_BYTES)),
            ),
            KeyOutcome::Unknown => State::Unknown,
            KeyOutcome::Revoked(reason) => State::Revoked(reason),
            KeyOutcome::Released => unreachable!("a released key was removed above"),
        };
        if let State::Complete(Some(response)) = &state {
            self.response_bytes += response.byte_size();
        }
        let previous = std::mem::replace(&mut entry.state, state);
        if let IdempotencyKey::Caller { .. } = key {
            self.expiry.remove(&(entry.expires, key.clone()));
            entry.expires = now + self.window;
            self.expiry.insert((entry.expires, key.clone()));
        }
        previous.into_waiters()
    }

    fn remove(&mut self, key: &IdempotencyKey) -> Vec<Ticket> {
        let Some(entry) = self.entries.remove(key) else {
            return Vec::new();
        };
        self.expiry.remove(&(entry.expires, key.clone()));
        if let State::Complete(Some(response)) = &entry.state {
            self.response_bytes -= response.byte_size();
        }
        entry.state.into_waiters()
    }

    /// Removes a request from those that wait for a key.
    pub fn remove_waiter(&mut self, key: &IdempotencyKey, ticket: Ticket) {
        if let Some(Entry {
            state: State::Open { waiters },
            ..
        }) = self.entries.get_mut(key)
        {
            waiters.retain(|waiter| *waiter != ticket);
        }
    }

    /// Removes settled keys that have expired. Open ones stay until they are settled.
    pub fn expire(&mut self, now: Time) {
        let due: Vec<IdempotencyKey> = self
            .expiry
            .iter()
            .take_while(|(expires, _)| *expires <= now)
            .map(|(_, key)| key.clone())
            .filter(|key| !matches!(self.entries[key].state, State::Open { .. }))
            .collect();
        for key in due {
            self.remove(&key);
        }
    }

    /// Returns how to respond to a repeat of a settled key, `None` if the key is open or not in
    /// the table.
    #[must_use]
    pub fn settled_claim(&self, key: &IdempotencyKey) -> Option<Claim> {
        self.entries.get(key)?.settled_claim()
    }
}

impl Entry {
    /// Decides how to handle another request with the key of this entry.
    fn claim_again(&mut self, fingerprint: Fingerprint, ticket: Ticket) -> Claim {
        if self.fingerprint != fingerprint {
            return Claim::Refuse(Refusal::not_run(Reason::KeyReuse));
        }
        if let State::Open { waiters } = &mut self.state {
            waiters.push(ticket);
            return Claim::Join;
        }
        self.settled_claim()
            .unwrap_or(Claim::Refuse(Refusal::unknown(Reason::Broken)))
    }

    fn settled_claim(&self) -> Option<Claim> {
        match &self.state {
            State::Open { .. } => None,
            State::Complete(Some(response)) => Some(Claim::Replay(response.clone())),
            State::Complete(None) => Some(Claim::Refuse(Refusal {
                outcome: seam_protocol::Outcome::Complete,
                reason: Reason::NotKept,
                retry_after: None,
            })),
            State::Unknown => Some(Claim::Refuse(Refusal::unknown(Reason::Broken))),
            State::Revoked(reason) => Some(Claim::Refuse(Refusal::not_run(*reason))),
        }
    }
}

impl State {
    fn into_waiters(self) -> Vec<Ticket> {
        match self {
            Self::Open { waiters } => waiters,
            _ => Vec::new(),
        }
    }
}
