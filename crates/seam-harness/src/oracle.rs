//! Records runs and outcomes, and reports violated guarantees.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use seam_protocol::{Outcome, RegionId, TargetId, Time, VmId};

use crate::ids::{OpId, RunId, SendingId};

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// A request ran in a region outside its residency.
    Residency(OpId, RegionId),
    /// A node forwarded a request that another node had forwarded to it.
    Loop(SendingId),
    /// A non-idempotent request ran twice.
    Twice(OpId),
    /// A request ran although its caller received the outcome "not run".
    NotRunRan(OpId),
    /// A caller received the response to another operation.
    Mixed(SendingId),
    /// A truncated response was delivered as complete.
    CutAsWhole(SendingId),
    /// A leaving target received a new request this long after it was listed.
    LeavingGotWork(TargetId, Duration),
    /// A draining node exited with this request in flight.
    DrainCut(SendingId),
    /// A node went back from the first revision to the second.
    Reverted(VmId, u64, u64),
    /// A node did not apply a revision within this time.
    SlowRevision(VmId, u64, Duration),
    /// A caller had no outcome this long after its deadline.
    NoAnswer(SendingId, Duration),
    /// The requests in flight of a customer over all nodes exceeded its concurrency.
    OverLimit(u32, u32),
    /// A request ran this often after it should have been refused for crashing its targets.
    CrashedOn(OpId, usize),
    /// A target that names a rate limit got this many requests within a window.
    OverRate(TargetId, usize),
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// One run of a request at a target.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The request that led to it.
    pub request: SendingId,
    /// The operation.
    pub op: OpId,
    /// Region of the target.
    pub region: RegionId,
}

/// A caller's view of one request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The operation.
    pub op: OpId,
    /// Time by which the caller needs an outcome.
    pub deadline: Time,
    /// Outcome received, if any.
    pub outcome: Option<Outcome>,
    /// Whether no outcome is due because its node was killed or paused, or its caller disconnected.
    pub excused: bool,
}

/// One operation of a caller.
#[derive(Clone, Debug)]
pub struct Op {
    /// Whether it is idempotent.
    pub repeatable: bool,
    /// Whether it is not idempotent and its requests share an idempotency key.
    pub keyed: bool,
    /// Its runs so far.
    pub runs: Vec<RunId>,
    /// Its requests so far.
    pub requests: Vec<SendingId>,
    /// Times at which it crashed a target.
    pub crashes: Vec<Time>,
    /// Runs that settled nodes started later than [`CONTACT_TIME`] after the third crash.
    pub late_runs: usize,
}

/// Checks every run and outcome of a world.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// Operations by ID.
    pub ops: BTreeMap<OpId, Op>,
    /// Requests by ID.
    pub requests: BTreeMap<SendingId, Request>,
    /// Runs by ID.
    pub runs: BTreeMap<RunId, Run>,
    /// Violated guarantees, in order.
    pub breaches: Vec<Breach>,
    pending: BTreeSet<(Time, SendingId)>,
}

/// Time for which a node must have been running, unpaused and connected to count as settled.
pub const CONTACT_TIME: Duration = Duration::from_secs(6);
/// Number of crashes after which a request must be refused.
const MAX_CRASHES: usize = 3;
/// Number of runs that are allowed after that.
const MAX_LATE_RUNS: usize = 3;
/// Time after the deadline within which an outcome still counts as in time.
pub const RESPONSE_SLACK: Duration = Duration::from_millis(600);

impl Oracle {
    /// Records a violated guarantee.
    pub fn record_breach(&mut self, breach: Breach) {
        self.breaches.push(breach);
    }

    /// Records that a caller sends a request.
    pub fn record_request(&mut self, id: SendingId, op: OpId, deadline: Time) {
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

    /// Records that a request starts to run, and checks residency and repeats.
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

    /// Records that an operation crashed the target that ran it.
    pub fn record_crash(&mut self, now: Time, id: OpId) {
        if let Some(op) = self.ops.get_mut(&id) {
            op.crashes.push(now);
        }
    }

    /// Checks a run that a settled node starts, of an operation that crashes its targets.
    pub fn check_crashing_run(&mut self, now: Time, id: OpId) {
        let Some(op) = self.ops.get_mut(&id) else {
            return;
        };
        let Some(last) = op.crashes.get(MAX_CRASHES - 1) else {
            return;
        };
        if now.since(*last) <= CONTACT_TIME {
            return;
        }
        op.late_runs += 1;
        let late_runs = op.late_runs;
        if late_runs > MAX_LATE_RUNS {
            self.record_breach(Breach::CrashedOn(id, late_runs));
        }
    }

    /// Checks that no caller received "not run" for an operation that ran.
    fn check_not_run(&mut self, id: OpId, request: SendingId) {
        let op = &self.ops[&id];
        let affected: Vec<SendingId> = if op.keyed {
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

    /// Records the outcome of a request.
    ///
    /// `run` is the run whose response the caller received, if any.
    pub fn record_outcome(
        &mut self,
        now: Time,
        id: SendingId,
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
                let response_op = run.and_then(|run| self.runs.get(&run)).map(|run| run.op);
                if response_op != Some(op) {
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

    /// Records that no outcome is due for a request.
    pub fn excuse(&mut self, id: SendingId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.excused = true;
            self.pending.remove(&(request.deadline, id));
        }
    }

    /// Checks that every caller whose deadline has passed has an outcome.
    pub fn check_deadlines(&mut self, now: Time) {
        while let Some((deadline, id)) = self.pending.first().copied()
            && deadline + RESPONSE_SLACK < now
        {
            self.pending.remove(&(deadline, id));
            self.record_breach(Breach::NoAnswer(id, now.since(deadline)));
        }
    }

    /// Returns the number of requests whose outcome is still due.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}
