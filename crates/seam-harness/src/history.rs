//! Random histories against the oracle, by a state machine of `proptest`.

use std::time::Duration;

use proptest::prelude::*;
use proptest::strategy::Union;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use proptest_state_machine::ReferenceStateMachine;
use seam_protocol::{CustomerId, ServiceId, VmId};

use crate::deployments::{self, DESK, WRITER, customer_name};
use crate::fault::Fault;
use crate::ids::{KeyChoice, OpId};
use crate::mutation::Mutation;
use crate::oracle::Breach;
use crate::world::{BOOT_TIME, Call, World};

/// Nodes, customers and targets of the deployment that histories run in.
const VMS: usize = 9;
const CUSTOMERS: usize = 9;
const TARGETS: usize = 9;
/// Time for which callers' keys are remembered in histories.
const REPEAT_WINDOW: Duration = Duration::from_secs(25);
/// Age above which callers do not send an operation again, as the window tells them.
const MAX_RESEND_AGE: Duration = Duration::from_secs(15);
/// Concurrency of each customer, one unit for each VM.
const CONCURRENCY: u32 = 9;
/// Operations that a history refers back to.
const RECENT_OPS: usize = 12;

/// One step of a history. Numbers choose among what exists.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Time passes.
    Wait(u64),
    /// A caller asks for an operation.
    Call {
        /// Customer.
        customer: usize,
        /// Node called.
        vm: usize,
        /// Whether it may be repeated.
        repeatable: bool,
        /// Its key.
        key: KeyChoice,
        /// Whether it crashes its targets.
        poison: bool,
        /// Time until the deadline in milliseconds.
        budget: u64,
    },
    /// A caller sends a recent operation again, anywhere.
    Resend {
        /// Which of the recent ones.
        recent: usize,
        /// Node called.
        vm: usize,
    },
    /// A customer surges at one node.
    Burst {
        /// Customer.
        customer: usize,
        /// Node called.
        vm: usize,
        /// Calls at once.
        count: usize,
    },
    /// A caller leaves.
    Leave(usize),
    /// Something fails, or an operator acts.
    Fault(Fault),
}

/// What a history has done so far, as far as its next steps depend on it.
#[derive(Clone, Debug, Default)]
pub struct History {
    calls: usize,
    down: [bool; VMS],
}

fn vm_names() -> Vec<String> {
    let spec = deployments::hamutenya();
    let regions = spec.regions.iter();
    regions
        .flat_map(|(region, count)| (0..*count).map(|index| deployments::vm_name(region, index)))
        .collect()
}

fn region_name(index: usize) -> String {
    deployments::hamutenya().regions[index % 3].0.clone()
}

fn target_name(index: usize) -> String {
    let (service, count) = if index.is_multiple_of(3) {
        (DESK, 1)
    } else {
        (WRITER, 2)
    };
    deployments::target_name(service, &region_name(index / 3), index % count)
}

fn calls() -> BoxedStrategy<Step> {
    let key = prop_oneof![
        3 => Just(KeyChoice::Issued),
        2 => Just(KeyChoice::Caller),
        2 => Just(KeyChoice::None),
    ];
    let flags = (prop::bool::weighted(0.4), prop::bool::weighted(0.03));
    (0..CUSTOMERS, 0..VMS, flags, key, 300u64..8000)
        .prop_map(
            |(customer, vm, (repeatable, poison), key, budget)| Step::Call {
                customer,
                vm,
                repeatable,
                key,
                poison,
                budget,
            },
        )
        .boxed()
}

fn bursts() -> BoxedStrategy<Step> {
    (0..CUSTOMERS, 0..VMS, 2usize..20)
        .prop_map(|(customer, vm, count)| Step::Burst {
            customer,
            vm,
            count,
        })
        .boxed()
}

fn node_faults(down: [bool; VMS]) -> BoxedStrategy<Fault> {
    let names = vm_names();
    let up: Vec<String> = names
        .iter()
        .zip(down)
        .filter(|(_, down)| !down)
        .map(|(name, _)| name.clone())
        .collect();
    let dead: Vec<String> = names
        .iter()
        .zip(down)
        .filter(|(_, down)| *down)
        .map(|(name, _)| name.clone())
        .collect();
    let mut choices = Vec::new();
    if up.len() > 4 {
        let some = prop::sample::select(up.clone());
        choices.push((1, some.clone().prop_map(|vm| Fault::Kill { vm }).boxed()));
        choices.push((1, some.clone().prop_map(|vm| Fault::Drain { vm }).boxed()));
        let pause = (some.clone(), 100u64..30_000);
        choices.push((
            3,
            pause.prop_map(|(vm, ms)| Fault::Pause { vm, ms }).boxed(),
        ));
        choices.push((1, some.prop_map(|vm| Fault::Cut { vm }).boxed()));
    }
    if !dead.is_empty() {
        let some = prop::sample::select(dead);
        choices.push((4, some.prop_map(|vm| Fault::Boot { vm }).boxed()));
    }
    Union::new_weighted(choices).boxed()
}

fn other_faults() -> BoxedStrategy<Fault> {
    let targets = || (0..TARGETS).prop_map(target_name);
    prop_oneof![
        2 => (0usize..3, 1usize..3).prop_map(|(a, step)| Fault::Part {
            a: region_name(a),
            b: region_name(a + step),
        }),
        1 => (0usize..3).prop_map(|region| Fault::Isolate { region: region_name(region) }),
        4 => Just(Fault::Heal),
        1 => prop::sample::select(vec![0u32, 0, 20, 60])
            .prop_map(|percent| Fault::Lose { percent }),
        3 => (targets(), 100u64..8000).prop_map(|(target, ms)| Fault::Crash { target, ms }),
        2 => targets().prop_map(|target| Fault::Silence { target }),
        1 => (targets(), prop::sample::select(vec![100u32, 300, 1000]))
            .prop_map(|(target, percent)| Fault::Slow { target, percent }),
        1 => (targets(), 1000u64..20_000).prop_map(|(target, ms)| Fault::Leave { target, ms }),
        1 => Just(Fault::ServiceDown),
        2 => Just(Fault::ServiceUp),
        1 => Just(Fault::ServiceStale),
        2 => (0..CUSTOMERS, prop::sample::subsequence(vec![0usize, 1, 2], 0..3)).prop_map(
            |(customer, regions)| Fault::Publish {
                customer: customer_name(customer),
                regions: regions.into_iter().map(region_name).collect(),
            }
        ),
    ]
    .boxed()
}

impl ReferenceStateMachine for History {
    type State = History;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<History> {
        Just(History::default()).boxed()
    }

    fn transitions(state: &History) -> BoxedStrategy<Step> {
        let mut choices = vec![
            (6, (1u64..3000).prop_map(Step::Wait).boxed()),
            (12, calls()),
            (1, bursts()),
            (1, node_faults(state.down).prop_map(Step::Fault).boxed()),
            (2, other_faults().prop_map(Step::Fault).boxed()),
        ];
        if state.calls > 0 {
            let recent = state.calls.min(RECENT_OPS);
            let again = (0..recent, 0..VMS);
            let again = again.prop_map(|(recent, vm)| Step::Resend { recent, vm });
            choices.push((5, again.boxed()));
            choices.push((1, (0..recent).prop_map(Step::Leave).boxed()));
        }
        Union::new_weighted(choices).boxed()
    }

    fn apply(mut state: History, step: &Step) -> History {
        let names = vm_names();
        let mut mark = |vm: &String, down| {
            if let Some(index) = names.iter().position(|name| name == vm) {
                state.down[index] = down;
            }
        };
        match step {
            Step::Call { .. } => state.calls += 1,
            Step::Fault(Fault::Kill { vm } | Fault::Drain { vm }) => mark(vm, true),
            Step::Fault(Fault::Boot { vm }) => mark(vm, false),
            _ => {}
        }
        state
    }
}

/// Runs one history and returns the world after it has come to rest.
#[must_use]
pub fn run_history(steps: &[Step], seed: u64, mutation: Mutation) -> World {
    const SETTLE_TIME: Duration = Duration::from_secs(40);
    let mut bundle = deployments::bundle(&deployments::hamutenya());
    bundle.deployment.repeat_window = REPEAT_WINDOW.as_secs();
    for customer in bundle.customers.values_mut() {
        customer.concurrency = CONCURRENCY;
    }
    let mut world = World::new(bundle, seed);
    world.mutation = mutation;
    // Owners of callers' keys are settled after one window.
    world.run_for(BOOT_TIME + REPEAT_WINDOW);
    let mut ops: Vec<OpId> = Vec::new();
    for step in steps {
        apply(&mut world, &mut ops, step);
    }
    world.inject_fault(&Fault::Heal);
    world.inject_fault(&Fault::ServiceUp);
    world.run_for(SETTLE_TIME);
    world
}

fn apply(world: &mut World, ops: &mut Vec<OpId>, step: &Step) {
    let vms = world.vms();
    match step {
        Step::Wait(ms) => world.run_for(Duration::from_millis(*ms)),
        Step::Call {
            customer,
            vm,
            repeatable,
            key,
            poison,
            budget,
        } => {
            let service = if *repeatable { WRITER } else { DESK };
            let call = Call {
                customer: CustomerId::of(&customer_name(*customer)),
                service: ServiceId::of(service),
                vm: vms[*vm],
                repeatable: *repeatable,
                key: *key,
                prefix: None,
                poison: *poison,
                budget: Duration::from_millis(*budget),
            };
            ops.extend(world.call(call));
        }
        Step::Burst {
            customer,
            vm,
            count,
        } => {
            for _ in 0..*count {
                world.call(burst_call(*customer, vms[*vm]));
            }
        }
        Step::Resend { recent, vm } => {
            if let Some(op) = recent_op(ops, *recent)
                && world.age(op) < MAX_RESEND_AGE
            {
                world.resend(op, vms[*vm]);
            }
        }
        Step::Leave(recent) => {
            if let Some(op) = recent_op(ops, *recent) {
                world.disconnect_caller(op);
            }
        }
        Step::Fault(fault) => world.inject_fault(fault),
    }
}

fn burst_call(customer: usize, vm: VmId) -> Call {
    const BUDGET: Duration = Duration::from_secs(6);
    Call {
        customer: CustomerId::of(&customer_name(customer)),
        service: ServiceId::of(WRITER),
        vm,
        repeatable: true,
        key: KeyChoice::None,
        prefix: None,
        poison: false,
        budget: BUDGET,
    }
}

fn recent_op(ops: &[OpId], recent: usize) -> Option<OpId> {
    let index = ops.len().checked_sub(1 + recent)?;
    ops.get(index).copied()
}

/// Sums over all histories of a campaign.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Histories.
    pub histories: u64,
    /// Operations.
    pub ops: u64,
    /// Sendings.
    pub sendings: u64,
    /// Runs at targets.
    pub runs: u64,
    /// Sendings answered whole.
    pub complete: u64,
    /// Sendings refused as not run.
    pub not_run: u64,
    /// Sendings with an unknown outcome.
    pub unknown: u64,
    /// Sendings to which no answer was due.
    pub excused: u64,
}

impl Totals {
    /// Adds a world that has come to rest.
    pub fn add(&mut self, world: &World) {
        use seam_protocol::Outcome;
        self.histories += 1;
        self.ops += world.oracle.ops.len() as u64;
        self.runs += world.oracle.runs.len() as u64;
        for request in world.oracle.requests.values() {
            self.sendings += 1;
            match request.outcome {
                Some(Outcome::Complete) => self.complete += 1,
                Some(Outcome::NotRun) => self.not_run += 1,
                Some(Outcome::Unknown) => self.unknown += 1,
                None => self.excused += 1,
            }
        }
    }
}

/// A history that broke a promise, as small as it could be made.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Its steps.
    pub steps: Vec<Step>,
    /// What it broke.
    pub breaches: Vec<Breach>,
}

/// How many histories to run, and which.
#[derive(Clone, Copy, Debug)]
pub struct Campaign {
    /// Seed of the whole campaign.
    pub seed: u64,
    /// Histories.
    pub cases: u32,
    /// Steps of each history.
    pub steps: usize,
    /// Which decision is broken on purpose.
    pub mutation: Mutation,
}

impl Campaign {
    /// Runs the campaign.
    ///
    /// # Errors
    /// The smallest history found that breaks a promise.
    ///
    /// # Panics
    /// If `proptest` gives up, which it does only when it cannot make histories.
    pub fn run(&self) -> Result<Totals, Box<Failure>> {
        let config = Config {
            cases: self.cases,
            rng_seed: RngSeed::Fixed(self.seed),
            failure_persistence: None,
            max_shrink_iters: 2000,
            ..Config::default()
        };
        let totals = std::cell::Cell::new(Totals::default());
        let strategy = History::sequential_strategy(1..=self.steps);
        let seed = self.seed;
        let mutation = self.mutation;
        let result = TestRunner::new(config).run(&strategy, |(_, steps, seen)| {
            let world = run_history(&steps, seed, mutation);
            if let Some(seen) = seen {
                seen.store(steps.len(), std::sync::atomic::Ordering::SeqCst);
            }
            let mut sum = totals.get();
            sum.add(&world);
            totals.set(sum);
            match world.oracle.breaches.first() {
                None => Ok(()),
                Some(breach) => Err(TestCaseError::fail(breach.to_string())),
            }
        });
        match result {
            Ok(()) => Ok(totals.get()),
            Err(TestError::Fail(_, (_, steps, _))) => {
                let breaches = run_history(&steps, seed, mutation).oracle.breaches;
                Err(Box::new(Failure { steps, breaches }))
            }
            Err(TestError::Abort(reason)) => panic!("the campaign was aborted: {reason}"),
        }
    }
}
