//! Requests that a node may begin at a shared target before it hears of those of other nodes.
//!
//! Answers to the pattern of a target that opens while requests wait at many nodes: each of them sees
//! all of its slots free, and together they would send many times as many.

use std::time::Duration;

use seam_protocol::Time;

use super::Recent;

/// Time until other nodes' words tell of what they began, in a region of some dozens.
const UNHEARD: Duration = Duration::from_millis(300);
/// Times its even part of the free slots that a node may begin meanwhile, since nodes rarely send at
/// once and need not send alike.
const UNEVEN: f64 = 2.0;

/// What a node began at one target lately.
#[derive(Clone, Debug, Default)]
pub struct Lately {
    begun: Recent,
    nodes: u32,
}

impl Lately {
    /// Sets how many nodes use the target.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes;
    }

    /// Notes a request that begins.
    pub fn note(&mut self, now: Time) {
        self.begun.note(now, UNHEARD);
    }

    /// Tells whether one more may begin where some slots seem free.
    ///
    /// ```
    /// use seam_core::targets::Lately;
    /// use seam_protocol::Time;
    /// let mut lately = Lately::default();
    /// lately.set_nodes(20);
    /// for _ in 0..4 {
    ///     assert!(lately.open(Time(0), 40));
    ///     lately.note(Time(0));
    /// }
    /// assert!(!lately.open(Time(0), 40));
    /// assert!(lately.open(Time(400_000), 40));
    /// ```
    #[must_use]
    pub fn open(&self, now: Time, free: u32) -> bool {
        let part = (f64::from(free) * UNEVEN / f64::from(self.nodes.max(1))).ceil();
        self.begun.count(now, UNHEARD) < part as usize
    }
}
