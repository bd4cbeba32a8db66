//! Up to which revision the answers to watches contain every change.

use seam_protocol::Delta;

/// Position of a node that watches a platform.
///
/// An answer states the platform's revision, which may be later than the changes in it. A node that
/// continued from there would never receive the changes between.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchCursor {
    /// The start of the last watch and the revision that its answer stated, if it had no changes.
    unconfirmed: Option<(u64, u64)>,
}

/// Returns the latest revision of the items in a delta, among those up to the one that it states.
fn last_change(delta: &Delta) -> Option<u64> {
    let revisions = delta.items.iter().map(|item| item.revision);
    revisions.filter(|last| *last <= delta.revision).max()
}

impl WatchCursor {
    /// Returns the answer to a watch with the revision up to which it and the answers before contain every
    /// change. `after` is the revision after which the watch began; it was called once the answer before
    /// had been received.
    ///
    /// What follows the last change of an answer is in the next one. A revision that is stated without
    /// changes is confirmed by a second answer without changes.
    ///
    /// ```
    /// use seam_core::watch_cursor::WatchCursor;
    /// use seam_protocol::{Delta, RawItem};
    /// let change = |revision| RawItem { key: "a".into(), revision, value: None, lapsed: false };
    /// let answer = |items, revision| Delta { items, revision, full: false };
    /// let mut cursor = WatchCursor::default();
    /// assert_eq!(cursor.confirm(4, answer(vec![change(5)], 7)).revision, 5);
    /// assert_eq!(cursor.confirm(5, answer(vec![], 7)).revision, 5);
    /// assert_eq!(cursor.confirm(5, answer(vec![], 9)).revision, 7);
    /// ```
    #[must_use]
    pub fn confirm(&mut self, after: u64, answer: Delta) -> Delta {
        let unconfirmed = self.unconfirmed.take();
        let last = last_change(&answer).filter(|last| *last > after);
        if last.is_none() {
            self.unconfirmed = Some((after, answer.revision));
        }
        let confirmed = unconfirmed.filter(|(start, _)| *start == after);
        let confirmed = confirmed.map_or(after, |(_, stated)| stated.min(answer.revision));
        Delta {
            revision: last.unwrap_or(confirmed),
            ..answer
        }
    }

    /// Returns the revision after which to watch once all items were read, so that changes which the list
    /// lacks are received, and the revision that the list states. `None` if that is no later than its items.
    #[must_use]
    pub fn list_start(list: &Delta) -> Option<(u64, u64)> {
        let newest = last_change(list).filter(|revision| *revision < list.revision)?;
        Some((newest, list.revision))
    }
}
