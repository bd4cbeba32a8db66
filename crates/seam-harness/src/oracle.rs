//! What ran where, what each caller was told, and which promise that breaks.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use seam_protocol::{Outcome, RegionId, TargetId, Time, VmId};

use crate::handle::{OpId, RunId, SendingId};

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// Data was processed outside its residency.
    Residency(OpId, RegionId),
    /// A request passed more nodes than allowed.
    Loop(SendingId),
    /// A request that may not be repeated ran twice.
    Twice(OpId),
    /// A request ran of which its caller was told that it did not run.
    NotRunRan(OpId),
    /// A caller got another request's answer.
    Mixed(SendingId),
    /// A cut answer passed as whole.
    CutAsWhole(SendingId),
    /// A leaving target got new work after its time.
    LeavingGotWork(TargetId, Duration),
    /// A drain cut off a request in flight.
    DrainCut(SendingId),
    /// A node's revision went back.
    Reverted(VmId, u64, u64),
    /// A revision was not in force in time.
    SlowRevision(VmId, u64, Duration),
    /// A caller got no final answer by its deadline.
    NoAnswer(SendingId, Duration),
    /// The sum over nodes exceeded a customer's concurrency.
    OverLimit(u32, u32),
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// One run of a request at a target.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The sending that led to it.
    pub sending: SendingId,
    /// The operation.
    pub op: OpId,
    /// Where.
    pub region: RegionId,
}

/// What a caller knows of one sending.
#[derive(Clone, Debug)]
pub struct Sending {
    /// The operation.
    pub op: OpId,
    /// When the caller must have its final answer.
    pub deadline: Time,
    /// What it was told.
    pub told: Option<Outcome>,
    /// Whether its node was killed or paused, or its caller left, so that no answer is due.
    pub excused: bool,
}

/// One operation that a caller wants done.
#[derive(Clone, Debug)]
pub struct Op {
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Whether its sendings share a key.
    pub keyed: bool,
    /// Runs so far.
    pub runs: Vec<RunId>,
    /// Sendings so far.
    pub sendings: Vec<SendingId>,
}

/// Sees everything and says what is broken.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// Operations.
    pub ops: BTreeMap<OpId, Op>,
    /// Sendings.
    pub sendings: BTreeMap<SendingId, Sending>,
    /// Runs.
    pub runs: BTreeMap<RunId, Run>,
    /// Broken promises, in order.
    pub breaches: Vec<Breach>,
    open: BTreeSet<(Time, SendingId)>,
}

/// Time beyond the deadline within which a final answer still counts as given in time.
pub const ANSWER_SLACK: Duration = Duration::from_millis(600);

impl Oracle {
    /// Notes a broken promise.
    pub fn breach(&mut self, breach: Breach) {
        self.breaches.push(breach);
    }

    /// Notes that a caller sends a request.
    pub fn sent(&mut self, id: SendingId, op: OpId, deadline: Time) {
        let sending = Sending {
            op,
            deadline,
            told: None,
            excused: false,
        };
        self.sendings.insert(id, sending);
        self.open.insert((deadline, id));
        if let Some(op) = self.ops.get_mut(&op) {
            op.sendings.push(id);
        }
    }

    /// Notes that a request begins to run.
    pub fn began(&mut self, id: RunId, run: Run, allowed: &BTreeSet<RegionId>) {
        if !allowed.contains(&run.region) {
            self.breach(Breach::Residency(run.op, run.region));
        }
        self.runs.insert(id, run);
        let Some(op) = self.ops.get_mut(&run.op) else {
            return;
        };
        op.runs.push(id);
        if op.repeatable {
            return;
        }
        let runs = op.runs.clone();
        let same: Vec<&RunId> = runs
            .iter()
            .filter(|id| op.keyed || self.runs[id].sending == run.sending)
            .collect();
        if same.len() > 1 {
            self.breach(Breach::Twice(run.op));
        }
        self.check_not_run(run.op, run.sending);
    }

    /// Checks that nobody was told "not run" of what ran.
    fn check_not_run(&mut self, id: OpId, sending: SendingId) {
        let op = &self.ops[&id];
        let concerned: Vec<SendingId> = if op.keyed {
            op.sendings.clone()
        } else {
            vec![sending]
        };
        let lied = concerned
            .iter()
            .any(|sending| self.sendings[sending].told == Some(Outcome::NotRun));
        if lied {
            self.breach(Breach::NotRunRan(id));
        }
    }

    /// Notes a final answer. `run` is the run whose answer came, if one did.
    pub fn told(&mut self, now: Time, id: SendingId, outcome: Outcome, run: Option<RunId>) {
        let Some(sending) = self.sendings.get_mut(&id) else {
            return;
        };
        if sending.told.is_some() {
            return;
        }
        sending.told = Some(outcome);
        let (op, deadline, excused) = (sending.op, sending.deadline, sending.excused);
        self.open.remove(&(deadline, id));
        if now > deadline + ANSWER_SLACK && !excused {
            self.breach(Breach::NoAnswer(id, now.since(deadline)));
        }
        match outcome {
            Outcome::Complete => {
                let right = run.and_then(|run| self.runs.get(&run)).map(|run| run.op);
                if right != Some(op) {
                    self.breach(Breach::Mixed(id));
                }
            }
            Outcome::NotRun => {
                let rule = &self.ops[&op];
                let ran = rule
                    .runs
                    .iter()
                    .any(|run| rule.keyed || self.runs[run].sending == id);
                if ran {
                    self.breach(Breach::NotRunRan(op));
                }
            }
            Outcome::Unknown => {}
        }
    }

    /// Notes that no answer is due for a sending.
    pub fn excuse(&mut self, id: SendingId) {
        if let Some(sending) = self.sendings.get_mut(&id) {
            sending.excused = true;
            self.open.remove(&(sending.deadline, id));
        }
    }

    /// Checks that callers whose deadline passed had their answer.
    pub fn check_answers(&mut self, now: Time) {
        while let Some((deadline, id)) = self.open.first().copied()
            && deadline + ANSWER_SLACK < now
        {
            self.open.remove(&(deadline, id));
            self.breach(Breach::NoAnswer(id, now.since(deadline)));
        }
    }

    /// Returns the number of sendings without a final answer.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.len()
    }
}
