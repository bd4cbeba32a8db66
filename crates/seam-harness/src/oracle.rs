//! What ran where, what each caller was told, and which promise that breaks.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use seam_protocol::{Outcome, RegionId, TargetId, Time, VmId};

use crate::ids::{OpId, RequestId, RunId};

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// Data was processed outside its residency.
    Residency(OpId, RegionId),
    /// A request passed more nodes than allowed.
    Loop(RequestId),
    /// A request that may not be repeated ran twice.
    Twice(OpId),
    /// A request ran of which its caller was told that it did not run.
    NotRunRan(OpId),
    /// A caller got another request's answer.
    Mixed(RequestId),
    /// A cut answer passed as whole.
    CutAsWhole(RequestId),
    /// A leaving target got new work after its time.
    LeavingGotWork(TargetId, Duration),
    /// A drain cut off a request in flight.
    DrainCut(RequestId),
    /// A node's revision went back.
    Reverted(VmId, u64, u64),
    /// A revision was not in force in time.
    SlowRevision(VmId, u64, Duration),
    /// A caller got no final answer by its deadline.
    NoAnswer(RequestId, Duration),
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
    pub request: RequestId,
    /// The operation.
    pub op: OpId,
    /// Where.
    pub region: RegionId,
}

/// What a caller knows of one sending.
#[derive(Clone, Debug)]
pub struct Request {
    /// The operation.
    pub op: OpId,
    /// When the caller must have its final answer.
    pub deadline: Time,
    /// What it was told.
    pub outcome: Option<Outcome>,
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
    pub requests: Vec<RequestId>,
}

/// Sees everything and says what is broken.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// Operations.
    pub ops: BTreeMap<OpId, Op>,
    /// Sendings.
    pub requests: BTreeMap<RequestId, Request>,
    /// Runs.
    pub runs: BTreeMap<RunId, Run>,
    /// Broken promises, in order.
    pub breaches: Vec<Breach>,
    pending: BTreeSet<(Time, RequestId)>,
}

/// Time beyond the deadline within which a final answer still counts as given in time.
pub const RESPONSE_SLACK: Duration = Duration::from_millis(600);

impl Oracle {
    /// Notes a broken promise.
    pub fn record_breach(&mut self, breach: Breach) {
        self.breaches.push(breach);
    }

    /// Notes that a caller sends a request.
    pub fn record_request(&mut self, id: RequestId, op: OpId, deadline: Time) {
        let request = Request {
            op,
            deadline,
            outcome: None,
            excused: false,
        };
        self.requests.insert(id, request);
        self.pending.insert((deadline, id));
        if let Some(op) = self.ops.get_mut(&op) {
            op.requests.push(id);
        }
    }

    /// Notes that a request begins to run.
    pub fn run_started(&mut self, id: RunId, run: Run, allowed: &BTreeSet<RegionId>) {
        if !allowed.contains(&run.region) {
            self.record_breach(Breach::Residency(run.op, run.region));
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
        let same_runs: Vec<&RunId> = runs
            .iter()
            .filter(|id| op.keyed || self.runs[id].request == run.request)
            .collect();
        if same_runs.len() > 1 {
            self.record_breach(Breach::Twice(run.op));
        }
        self.check_not_run(run.op, run.request);
    }

    /// Checks that nobody was told "not run" of what ran.
    fn check_not_run(&mut self, id: OpId, request: RequestId) {
        let op = &self.ops[&id];
        let affected: Vec<RequestId> = if op.keyed {
            op.requests.clone()
        } else {
            vec![request]
        };
        let contradicted = affected
            .iter()
            .any(|request| self.requests[request].outcome == Some(Outcome::NotRun));
        if contradicted {
            self.record_breach(Breach::NotRunRan(id));
        }
    }

    /// Notes a final answer. `run` is the run whose answer came, if one did.
    pub fn record_outcome(
        &mut self,
        now: Time,
        id: RequestId,
        outcome: Outcome,
        run: Option<RunId>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.outcome.is_some() {
            return;
        }
        request.outcome = Some(outcome);
        let (op, deadline, excused) = (request.op, request.deadline, request.excused);
        self.pending.remove(&(deadline, id));
        if now > deadline + RESPONSE_SLACK && !excused {
            self.record_breach(Breach::NoAnswer(id, now.since(deadline)));
        }
        match outcome {
            Outcome::Complete => {
                let answered = run.and_then(|run| self.runs.get(&run)).map(|run| run.op);
                if answered != Some(op) {
                    self.record_breach(Breach::Mixed(id));
                }
            }
            Outcome::NotRun => {
                let state = &self.ops[&op];
                let ran = state
                    .runs
                    .iter()
                    .any(|run| state.keyed || self.runs[run].request == id);
                if ran {
                    self.record_breach(Breach::NotRunRan(op));
                }
            }
            Outcome::Unknown => {}
        }
    }

    /// Notes that no answer is due for a sending.
    pub fn excuse(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.excused = true;
            self.pending.remove(&(request.deadline, id));
        }
    }

    /// Checks that callers whose deadline passed had their answer.
    pub fn check_deadlines(&mut self, now: Time) {
        while let Some((deadline, id)) = self.pending.first().copied()
            && deadline + RESPONSE_SLACK < now
        {
            self.pending.remove(&(deadline, id));
            self.record_breach(Breach::NoAnswer(id, now.since(deadline)));
        }
    }

    /// Returns the number of sendings without a final answer.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}
