//! How long a revoked API key may still be accepted: confirmations that the configuration in force is the
//! present one, from the store and from other nodes, and the refusal of keyed requests without a recent one.
//!
//! Each node decides alone. A confirmation is a time on this node's clock at which no later configuration than
//! the one in force existed. It holds for each later configuration too, since that contains every removal before it.

use std::time::Duration;

use seam_protocol::heartbeat::Confirmation;
use seam_protocol::{Heartbeat, Reason, Time, VmId};

use super::Node;
use crate::command::Command;
use crate::config_version::ConfigVersion;
use crate::peers::ConfirmationAge;
use crate::refusal::Refusal;
use crate::store_call::{StoreCall, StoreScope};

/// Part of the limit that is left to what the age of a confirmation does not contain, such as the difference
/// between the clocks' rates.
const MARGIN: Duration = Duration::from_millis(250);
/// Time without a younger confirmation after which a node reads the store itself.
const WATCH_DELAY: Duration = Duration::from_millis(1500);
/// Time between two pairs of nodes of a region that begin to read the store, so that most of them get their
/// confirmations from the first pairs.
const WATCH_TURN: Duration = Duration::from_millis(250);
/// Nodes of a region that begin at a time.
const WATCH_PAIR: usize = 2;
/// Age of its own confirmation from which a node that watches the store reads the configuration's item as well,
/// since answers with changes confirm nothing.
const READ_AGE: Duration = Duration::from_millis(1500);
/// Shortest time between two such reads.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Difference of ages from which a node returns its confirmation to one of another region. The regular heartbeats
/// between two nodes of different regions are too far apart to date it by.
const RETURN_DIFFERENCE: Duration = Duration::from_secs(1);
/// Shortest time between two confirmations that are returned to the same node.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);
/// Age up to which a node adds a confirmation of its own to each message; others do so in some heartbeats.
const OWN_AGE: Duration = Duration::from_millis(1500);
/// Nodes of a region that relay confirmations in each heartbeat. With more nodes, each relays less often.
const RELAYING_NODES: usize = 8;
/// Added to the age of a confirmation that is sent: up to a millisecond is cut off, and times of messages that
/// are sent together run ahead of the clock by a microsecond each.
const AGE_ERROR: Duration = Duration::from_millis(2);
/// Shortest time after which a refused request may be sent again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Span over which these times are spread, so that callers do not come back together.
const RETRY_SPAN: Duration = Duration::from_millis(500);

/// A confirmation that another node relayed.
#[derive(Clone, Copy, Debug)]
struct Relayed {
    /// When this node sent the message that the other one had received before.
    echo: Time,
    /// Age of the confirmation when the other node sent it.
    age: Duration,
}

impl Relayed {
    fn age(&self, now: Time) -> Duration {
        now.since(self.echo) + self.age
    }
}

/// The store's revision, as an answer without changes stated it, and when the call began.
#[derive(Clone, Copy, Debug)]
struct Stated {
    revision: u64,
    begun: Time,
}

/// The confirmations of a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Revocation {
    /// When the call began by which the store last confirmed the configuration in force.
    own: Option<Time>,
    /// The youngest confirmation of another node.
    relayed: Option<Relayed>,
    /// When the confirmation last became younger, or this node started.
    improved: Time,
    /// Revisions of the store up to which not every change is known yet: the first and the last one.
    open: [Option<Stated>; 2],
    /// Whether an answer had an element that could not be read, which may have been the configuration.
    unread: bool,
    /// When the configuration's item was last read because of the age of the confirmation.
    read: Option<Time>,
    /// Whether keyed requests are admitted, as it was last logged.
    admitting: bool,
    /// When a confirmation was last returned to each node of another region.
    returned: std::collections::BTreeMap<VmId, Time>,
}

impl Revocation {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            improved: now,
            ..Self::default()
        }
    }

    /// Returns the age of the youngest confirmation.
    fn age(&self, now: Time) -> Option<Duration> {
        let own = self.own.map(|begun| now.since(begun));
        let relayed = self.relayed.map(|relayed| relayed.age(now));
        own.into_iter().chain(relayed).min()
    }

    /// Adopts a confirmation by a call to the store. Returns the age of the youngest one before.
    fn confirm(&mut self, now: Time, begun: Time) -> Option<Duration> {
        let before = self.age(now);
        if before.is_none_or(|age| now.since(begun) < age) {
            self.improved = now;
        }
        self.own = self.own.max(Some(begun));
        before
    }

    /// Adopts a confirmation of another node if it is younger than the known ones.
    fn adopt(&mut self, now: Time, relayed: Relayed) {
        if self.age(now).is_none_or(|age| relayed.age(now) < age) {
            self.relayed = Some(relayed);
            self.improved = now;
        }
    }

    /// Notes the store's revision of an answer without changes.
    fn note_stated(&mut self, stated: Stated) {
        let [first, last] = &mut self.open;
        if first.is_none() {
            *first = Some(stated);
        } else {
            *last = Some(stated);
        }
    }

    /// Returns when the last call began after which every change up to the store's revision is known by now.
    fn settle(&mut self, known: u64) -> Option<Time> {
        let [first, last] = self.open;
        let settled = |stated: &Stated| stated.revision <= known;
        if let Some(last) = last.filter(settled) {
            self.open = [None, None];
            return Some(last.begun);
        }
        let first = first.filter(settled)?;
        self.open = [last, None];
        Some(first.begun)
    }

    /// Forgets all confirmations, as the configuration in force is no later one than before.
    pub(crate) fn clear(&mut self) {
        (self.own, self.relayed, self.open) = (None, None, [None, None]);
    }
}

/// What an answer of the store says of the configuration, taken before its items are merged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shown {
    pub(super) call: StoreCall,
    pub(super) scope: StoreScope,
    /// Whether every element could be read.
    pub(super) complete: bool,
    /// Whether it has no items.
    pub(super) empty: bool,
    /// The store's revision, if it is stated.
    pub(super) stated: Option<u64>,
    /// Revision of the configuration's item, if the answer has it.
    pub(super) config: Option<u64>,
}

impl Node {
    /// Returns the time for which a revoked API key may still be accepted, `None` without a limit.
    ///
    /// ```
    /// use seam_core::{Identity, Node};
    /// use seam_protocol::{Incarnation, RegionId, Time, VmId};
    /// let id = Identity { vm: VmId(1), region: RegionId(1), incarnation: Incarnation(1) };
    /// assert_eq!(Node::new(id, 1, Time(0)).revocation_limit(), None);
    /// ```
    #[must_use]
    pub fn revocation_limit(&self) -> Option<Duration> {
        let bundle = self.bundle.as_ref()?;
        let limit = bundle.tenant_bounds.revocation_limit;
        limit.map(Duration::from_millis)
    }

    /// Returns the age of the youngest confirmation that the configuration in force is the present one, by the
    /// store or relayed by another node. `None` if there is none, or no limit on revocation.
    #[must_use]
    pub fn confirmation_age(&self, now: Time) -> Option<Duration> {
        self.revocation_limit()?;
        self.revocation.age(now)
    }

    /// Returns whether keyed requests that are read now are admitted.
    ///
    /// ```
    /// use seam_core::{Identity, Node};
    /// use seam_protocol::{Incarnation, RegionId, Time, VmId};
    /// let id = Identity { vm: VmId(1), region: RegionId(1), incarnation: Incarnation(1) };
    /// assert!(Node::new(id, 1, Time(0)).admits_keyed(Time(0)), "no limit is set");
    /// ```
    #[must_use]
    pub fn admits_keyed(&self, now: Time) -> bool {
        let limit = self.revocation_limit();
        limit.is_none_or(|limit| self.confirmed_within(now, limit))
    }

    fn confirmed_within(&self, now: Time, limit: Duration) -> bool {
        let age = self.revocation.age(now);
        age.is_some_and(|age| age < limit.saturating_sub(MARGIN))
    }

    /// Checks whether a request whose API key was found in a configuration is admitted. `now` is after its head
    /// was read.
    ///
    /// ```
    /// use seam_core::{Identity, Node};
    /// use seam_protocol::{Incarnation, RegionId, Time, VmId};
    /// let id = Identity { vm: VmId(1), region: RegionId(1), incarnation: Incarnation(1) };
    /// let mut node = Node::new(id, 1, Time(0));
    /// let version = node.config_version();
    /// assert_eq!(node.check_keyed(Time(0), &version), Ok(()));
    /// ```
    ///
    /// # Errors
    /// A refusal as not run, with the time after which to try again, if a limit on revocation is set and the
    /// configuration in force may be older than that, or if another one has come into force since the key was
    /// found, which may lack it.
    pub fn check_keyed(&mut self, now: Time, found: &ConfigVersion) -> Result<(), Refusal> {
        let version = &self.config_view.version;
        let same = (found.revision, found.taken) == (version.revision, version.taken);
        if self.revocation_limit().is_some() && !same {
            return Err(self.refuse_keyed(now, Reason::Revision));
        }
        self.check_confirmation(now)
    }

    /// Checks whether a keyed request is admitted by the age of the confirmation.
    pub(super) fn check_confirmation(&mut self, now: Time) -> Result<(), Refusal> {
        if self.admits_keyed(now) {
            return Ok(());
        }
        Err(self.refuse_keyed(now, Reason::Stale))
    }

    fn refuse_keyed(&mut self, now: Time, reason: Reason) -> Refusal {
        self.counters.unconfirmed += 1;
        let share = now.0 % RETRY_SPAN.as_micros() as u64;
        let delay = MIN_RETRY_AFTER + Duration::from_micros(share);
        Refusal::not_run(reason).with_retry_after(delay)
    }

    /// Logs that this node begins or stops to admit keyed requests.
    pub(super) fn review_admission(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.revocation_limit().is_none() || !self.configured() {
            return;
        }
        let admits = self.admits_keyed(now);
        if admits != std::mem::replace(&mut self.revocation.admitting, admits) {
            let age = self.revocation.age(now);
            out.push(Command::LogAdmission { admits, age });
        }
    }

    /// Returns the revision of the configuration's item if the configuration in force is the last one that this
    /// node knows.
    fn item_in_force(&self) -> Option<u64> {
        let (revision, config) = self.catalogue.last_config()?;
        let base = self.base_config.as_ref()?;
        (base.digest == config.digest).then_some(revision)
    }

    /// Adopts what an answer of the store confirms, once its items were merged.
    ///
    /// The item itself confirms the configuration as of when the call began. So does an answer to a watch without
    /// changes, once every change up to the store's revision is known. One with changes may be a part of what the
    /// store has.
    pub(super) fn confirm_shown(&mut self, now: Time, shown: Shown, out: &mut Vec<Command>) {
        if self.revocation_limit().is_none() {
            return;
        }
        let (revocation, begun) = (&mut self.revocation, shown.call.begun);
        let confirmed = if shown.scope == StoreScope::Changes {
            if !shown.complete {
                revocation.unread = true;
                revocation.open = [None, None];
            }
            if let Some(revision) = shown.stated.filter(|_| shown.complete && shown.empty) {
                revocation.note_stated(Stated { revision, begun });
            }
            let settled = revocation.settle(self.catalogue.revision());
            settled.filter(|_| !revocation.unread)
        } else {
            let known = self.catalogue.last_config().map(|(revision, _)| revision);
            let known = known.zip(shown.config);
            // A later one was received since the call began.
            let found = known.is_some_and(|(known, shown)| known >= shown);
            revocation.unread &= !found;
            found.then_some(begun)
        };
        if let Some(begun) = confirmed.filter(|_| self.item_in_force().is_some()) {
            self.confirm_revocation(now, begun, out);
        }
    }

    /// Adopts a confirmation by a call to the store. Others that may lack one are told at once.
    pub(super) fn confirm_revocation(&mut self, now: Time, begun: Time, out: &mut Vec<Command>) {
        let before = self.revocation.confirm(now, begun);
        if self.revocation_limit().is_some() && before.is_none_or(|age| age >= WATCH_DELAY) {
            self.tell_region(now, |_| {}, out);
        }
    }

    /// Returns whether to read the configuration's item, since watches have not confirmed it for some time.
    pub(super) fn confirming_read_due(&mut self, now: Time) -> bool {
        if self.revocation_limit().is_none() || !self.watches_platform(now) {
            return false;
        }
        let recent = |since: Option<Time>, span| since.is_some_and(|since| now.since(since) < span);
        let revocation = &mut self.revocation;
        let due = !recent(revocation.own, READ_AGE) && !recent(revocation.read, READ_INTERVAL);
        if due {
            revocation.read = Some(now);
        }
        due
    }

    /// Returns whether this node reads the store since it receives no confirmations. Of the nodes of a region that
    /// lack one, a few begin at a time, in the order in which they would watch it.
    pub(super) fn lacks_confirmation(&self, now: Time) -> bool {
        if self.revocation_limit().is_none() {
            return false;
        }
        let since = now.since(self.revocation.improved);
        since >= WATCH_DELAY
            && since >= WATCH_DELAY + WATCH_TURN * (self.higher_ranked(now) / WATCH_PAIR) as u32
    }

    /// Returns the confirmation for a message that is sent now.
    fn confirmation(&self, now: Time) -> Option<Confirmation> {
        let age = self.confirmation_age(now)? + AGE_ERROR;
        Some(Confirmation {
            item_revision: self.item_in_force()?,
            age: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Adds the confirmation to a message.
    fn add_confirmation(&self, now: Time, heartbeat: &mut Heartbeat) {
        heartbeat.confirmation = self.confirmation(now);
        if heartbeat.confirmation.is_some() {
            heartbeat.config = self.config_view.meaning();
        }
    }

    /// Adds the confirmation to a message if this node got a recent one from the store itself.
    pub(super) fn list_own_confirmation(&self, now: Time, heartbeat: &mut Heartbeat) {
        let own = self.revocation.own;
        if own.is_some_and(|begun| now.since(begun) < OWN_AGE) {
            self.add_confirmation(now, heartbeat);
        }
    }

    /// Adds the confirmation to a heartbeat. In a large region, relayed ones are in some heartbeats only, so that
    /// what each node receives does not grow with its region.
    pub(super) fn list_confirmation(
        &self,
        now: Time,
        turn: usize,
        heartbeat: &mut Heartbeat,
        to: VmId,
    ) {
        let near = self.regions.get(&to) == Some(&self.id.region);
        let turns = self.alive.len().div_ceil(RELAYING_NODES).max(1);
        if heartbeat.confirmation.is_none() && (!near || turn.is_multiple_of(turns)) {
            self.add_confirmation(now, heartbeat);
        }
    }

    /// Adopts the confirmation of another node for the same item and meaning.
    ///
    /// `echo` is when this node sent a message that the other one had received when it sent this one. The
    /// confirmation is dated by it, so it never seems younger than it is, whatever the messages' delays.
    pub(super) fn merge_confirmation(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        echo: Option<Time>,
        comparable: bool,
    ) {
        let Some(confirmation) = heartbeat.confirmation else {
            return;
        };
        let age = Duration::from_millis(u64::from(confirmation.age));
        self.peers
            .note_confirmation(heartbeat.from, ConfirmationAge { received: now, age });
        if self.revocation_limit().is_none() || !comparable {
            return;
        }
        let same_item = self.item_in_force() == Some(confirmation.item_revision);
        let same_meaning = heartbeat.config.digest == self.config_view.meaning().digest;
        if let Some(echo) = echo.filter(|echo| echo.0 > 0 && same_item && same_meaning) {
            let echo = echo.min(now);
            self.revocation.adopt(now, Relayed { echo, age });
        }
    }

    /// Returns a confirmation at once to a node of another region whose own is older or missing. Its message, which
    /// the answer echoes, has just been sent, so the confirmation is dated well.
    pub(super) fn return_confirmation(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        out: &mut Vec<Command>,
    ) {
        let (Some(limit), Some(own)) = (self.revocation_limit(), self.confirmation_age(now)) else {
            return;
        };
        let stated = heartbeat.confirmation;
        let older = stated.is_none_or(|stated| {
            Duration::from_millis(u64::from(stated.age)) > own + RETURN_DIFFERENCE
        });
        if heartbeat.region == self.id.region || !older || own >= limit {
            return;
        }
        let returned = &mut self.revocation.returned;
        returned.retain(|_, at| now.since(*at) < RETURN_INTERVAL);
        if returned.contains_key(&heartbeat.from) {
            return;
        }
        let sent = self.next_timestamp(now);
        let Some((address, mut answer)) = self.new_short_heartbeat(sent, heartbeat.from) else {
            return;
        };
        self.add_confirmation(now, &mut answer);
        if answer.confirmation.is_none() {
            return;
        }
        self.revocation.returned.insert(heartbeat.from, now);
        out.push(Command::Heartbeat {
            to: heartbeat.from,
            address,
            heartbeat: answer,
        });
    }

    /// Returns whether a node is known to admit keyed requests, or to refuse them; `None` if neither is known.
    pub(super) fn known_to_admit(&self, now: Time, vm: VmId) -> Option<bool> {
        let limit = self.revocation_limit()?.saturating_sub(MARGIN);
        if vm == self.id.vm {
            return Some(self.admits_keyed(now));
        }
        let age = self.peers.confirmation_age(now, vm)?;
        Some(age < limit)
    }
}
