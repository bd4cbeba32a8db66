//! The alarm of a node that refuses by a configuration which the store has not shown for some time.

use std::time::Duration;

use seam_core::ConfigStamp;
use seam_protocol::{Reason, Time};

/// Time without a confirmation by the store after which a refusal counts.
pub const MAX_UNCONFIRMED: Duration = Duration::from_secs(10);
/// Minimum interval between two lines.
pub const LINE_INTERVAL: Duration = Duration::from_secs(60);

/// Decides which refusals to count, and when to log.
///
/// ```
/// use seam_core::ConfigStamp;
/// use seam_node::unconfirmed::{Unconfirmed, UnconfirmedAlarm};
/// use seam_protocol::{Reason, Time};
/// let mut alarm = UnconfirmedAlarm::default();
/// let config = ConfigStamp { confirmed_ms: Some(10_001), meaning: 1, ..ConfigStamp::default() };
/// let found = alarm.observe(Time(0), Reason::Service, &config);
/// assert_eq!(found, Some(Unconfirmed::Logged { skipped: 0 }));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct UnconfirmedAlarm {
    /// When the last line was due, and how many refusals counted since.
    last: Option<(Time, u64)>,
}

/// A refusal by a configuration that is not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unconfirmed {
    /// It is counted only.
    Counted,
    /// It is logged too.
    Logged {
        /// Refusals that were counted since the last line.
        skipped: u64,
    },
}

impl UnconfirmedAlarm {
    /// Records a refusal. Returns `None` if another version could not change it, or if the store has shown the
    /// configuration not long ago. One that the store never showed counts from when it was taken. See
    /// [`UnconfirmedAlarm`] for an example.
    pub fn observe(
        &mut self,
        now: Time,
        reason: Reason,
        config: &ConfigStamp,
    ) -> Option<Unconfirmed> {
        let by_version = matches!(reason, Reason::Service | Reason::Revision);
        let age = config.confirmed_ms.unwrap_or(config.age_ms);
        let old = Duration::from_millis(age) > MAX_UNCONFIRMED;
        if !by_version || config.meaning == 0 || !old {
            return None;
        }
        match &mut self.last {
            Some((last, skipped)) if now.since(*last) < LINE_INTERVAL => {
                *skipped += 1;
                Some(Unconfirmed::Counted)
            }
            last => {
                let skipped = last.replace((now, 0)).map_or(0, |(_, skipped)| skipped);
                Some(Unconfirmed::Logged { skipped })
            }
        }
    }
}
