//! Explains how a node would route a request, and ranks nodes for callers.

use std::collections::BTreeSet;
use std::time::Duration;

use seam_protocol::{CustomerId, Fingerprint, RegionId, ServiceId, Time, VmId};
use serde::Serialize;

use crate::admission::Contest;
use crate::allowance::balance::Decision;
use crate::arrival::{Arrival, Origin};
use crate::command::Command;
use crate::config_version::ConfigStamp;
use crate::event::Event;
use crate::handle::Ticket;
use crate::node::Node;
use crate::node::allowances::Charge;
use crate::request::{Request, Stage};
use crate::spill::RoutingDecision;
use crate::targets::{Phase, TargetQuery, TargetVerdict, Verdict};

/// Ticket of an explained request. Adapters count from 1.
const EXPLAINED: Ticket = Ticket(0);

/// How a request would be served in one region.
#[derive(Clone, Debug, Serialize)]
pub struct RegionView {
    /// Region name.
    pub name: String,
    /// Whether residency permits the region and a target is configured there.
    pub allowed: bool,
    /// Whether this node has recent load data of the region.
    pub known: bool,
    /// Predicted wait in milliseconds, including the round trip.
    pub wait_ms: Option<u64>,
    /// Free slots.
    pub free: Option<u32>,
}

/// How a node would route a request now.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Customer name.
    pub customer: String,
    /// Service name.
    pub service: String,
    /// Configuration by which it is explained.
    pub config: ConfigStamp,
    /// All regions in key order, including this one.
    pub regions: Vec<RegionView>,
    /// Targets of this region that accept the request, with their load in requests.
    pub targets: Vec<(String, u32)>,
    /// The decision as text.
    pub decision: String,
}

/// Decisions on one request in a copy of a node, recorded by the functions that make them.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    pub(crate) ticket: Ticket,
    /// The last routing decision.
    pub(crate) decision: Option<RoutingDecision>,
    /// The verdicts of the last choice of a target.
    pub(crate) targets: Vec<TargetVerdict>,
}

seam_protocol::message! {
    /// The regions that may process a request.
    pub struct Homes {
        /// Regions that the route permits; all if `None`.
        pub route: Option<Vec<String>>,
        /// Regions that the tenant permits; all if `None`.
        pub tenant: Option<Vec<String>>,
        /// Regions that both permit and that have a target of the service.
        pub permitted: Vec<String>,
    }

    /// Whether the configuration is confirmed recently enough for requests with API keys.
    pub struct ConfirmationView {
        /// Limit on revocation in milliseconds, if one is set.
        pub limit_ms: Option<u64>,
        /// Age of the youngest confirmation in milliseconds. `None` if there is none, or no limit.
        pub age_ms: Option<u64>,
        /// Whether requests with API keys are admitted.
        pub admits: bool,
    }

    /// What the allowance of a tenant decides on a request.
    pub struct AllowanceView {
        /// Tokens that the request costs.
        pub cost: f64,
        /// Tokens that this node holds for the tenant.
        pub held: f64,
        /// `admits`, `waits` or `refuses`.
        pub decision: String,
        /// Time in milliseconds after which there may be tokens, if it refuses.
        pub retry_ms: Option<u64>,
    }

    /// State of a region for a request.
    pub struct RegionState {
        /// Region name.
        pub name: String,
        /// Whether the route and the tenant permit the region and a target is configured there.
        pub permitted: bool,
        /// Whether this node has recent load data of the region, and a target there takes work.
        pub known: bool,
        /// Network round trip in milliseconds.
        pub round_trip_ms: f64,
        /// Predicted wait in milliseconds, without the round trip.
        pub wait_ms: Option<f64>,
        /// Free slots, less what this node has sent there since the region's last summary.
        pub free: Option<u32>,
    }

    /// State of a target of this region for a request.
    pub struct TargetReport {
        /// Target name.
        pub name: String,
        /// Phase, which decides whether it takes new requests.
        pub phase: String,
        /// Estimated number of requests of all nodes that run there.
        pub load: u32,
        /// Requests of this node that run there.
        pub running: u32,
        /// Slots.
        pub slots: u32,
        /// Tokens of running requests in its memory, if it is an engine.
        pub memory_used: Option<u64>,
        /// Memory in tokens, if it is an engine.
        pub memory: Option<u64>,
        /// Tokens of the prompt that are expected in its cache.
        pub cached_tokens: Option<u32>,
        /// Tokens of the prompt that are not expected in its cache.
        pub uncached_tokens: Option<u32>,
        /// Predicted time to the first token in milliseconds.
        pub first_token_ms: Option<f64>,
        /// The cost by which engines are compared, in milliseconds.
        pub cost_ms: Option<f64>,
        /// Whether it is the first choice.
        pub first: bool,
        /// Why it is chosen or not.
        pub reason: String,
    }

    /// What a request competes with for the engines of its service.
    pub struct CompetitionView {
        /// Rank of its route.
        pub rank: u8,
        /// More urgent rank that it is held back for.
        pub held_for: Option<u8>,
        /// Whether it is in excess of its tenant's usual load.
        pub excess: bool,
        /// `ample`, `scarce` or `held`.
        pub room: String,
        /// Shortest wait of an urgent prompt in milliseconds.
        pub urgent_wait_ms: f64,
        /// Fraction of the slots in use.
        pub slots: f64,
        /// Fraction of the memory in use.
        pub memory: f64,
    }

    /// Where a request would go.
    pub struct DecisionView {
        /// `target`, `queue`, `node`, `region`, `wait` or `refuse`.
        pub action: String,
        /// Name of the target, node or region, if it goes to one.
        pub to: Option<String>,
        /// Why.
        pub reason: String,
        /// Time in milliseconds after which the caller may retry, if it is refused.
        pub retry_ms: Option<u64>,
    }
}

/// What a node would do with a request now, and why.
#[derive(Clone, Debug, Serialize)]
pub struct RequestExplanation {
    /// The decision.
    pub decision: DecisionView,
    /// The decision if it had tokens of its tenant's allowance now, if it waits for them.
    pub with_tokens: Option<DecisionView>,
    /// Name of the route or the customer.
    pub route: String,
    /// Name of the tenant, if the request has one.
    pub tenant: Option<String>,
    /// Service name.
    pub service: String,
    /// Configuration by which it is explained.
    pub config: ConfigStamp,
    /// Whether a retry after a lost response is allowed.
    pub repeatable: bool,
    /// The regions that may process it.
    pub homes: Homes,
    /// The age of the confirmation.
    pub confirmation: ConfirmationView,
    /// Decision of the tenant's allowance, if one limits it.
    pub allowance: Option<AllowanceView>,
    /// What it competes with, if it competes for engines.
    pub competition: Option<CompetitionView>,
    /// All regions in key order, including this one.
    pub regions: Vec<RegionState>,
    /// Targets of this region.
    pub targets: Vec<TargetReport>,
}

/// Recommended nodes for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entries {
    /// Nodes, best first.
    pub nodes: Vec<VmId>,
    /// How long the caller may cache the list.
    pub valid: Duration,
}

impl Node {
    /// Explains how this node would route a customer's request for a service.
    ///
    /// Returns `None` without a bundle, or if the service or customer is unknown.
    #[must_use]
    pub fn explain(
        &self,
        now: Time,
        customer: CustomerId,
        service: ServiceId,
    ) -> Option<Explanation> {
        let bundle = self.bundle.as_ref()?;
        let spec = bundle.services.get(&service)?;
        let customer_spec = bundle.customers.get(&customer)?;
        let arrival = Arrival {
            ticket: Ticket(0),
            origin: Origin::Caller,
            customer,
            service,
            repeatable: true,
            replayable: true,
            key: None,
            fingerprint: Fingerprint(0),
            attributes: Vec::new(),
            prefix: None,
            budget: Duration::from_millis(spec.deadline),
            tenant: None,
            route: None,
            prompt: None,
            stream: None,
        };
        let request = Request::new(now, &arrival);
        let allowed = bundle.allowed_regions(spec, customer_spec);
        let mut local = self.local_view(now, &request);
        let other_node = self
            .node_with_targets(now, &request)
            .filter(|_| !local.possible);
        local.possible |= other_node.is_some();
        let remotes = self.remote_views(now, &request);
        let regions = bundle
            .deployment
            .regions
            .iter()
            .map(|(id, region)| {
                let own = *id == self.id.region;
                let remote = remotes.iter().find(|view| view.region == *id);
                let wait = if own {
                    local.possible.then_some(local.wait)
                } else {
                    remote.map(|view| view.round_trip + view.wait)
                };
                RegionView {
                    name: region.name.clone(),
                    allowed: allowed.contains(id),
                    known: own || remote.is_some(),
                    wait_ms: wait.map(|wait| wait.as_millis() as u64),
                    free: remote.map(|view| view.free),
                }
            })
            .collect();
        let choice = self.spill.clone().choose(
            crate::spill::RoutingRequest {
                service,
                budget: Duration::from_millis(spec.deadline),
                expected: self.expected_time(service),
                objective: Duration::from_millis(spec.deadline),
                weight: bundle.deployment.latency_weight,
            },
            local,
            &remotes,
        );
        let decision = describe(choice, &allowed, bundle);
        Some(Explanation {
            customer: customer_spec.name.clone(),
            service: spec.name.clone(),
            config: self.config_view.version.stamp(now),
            regions,
            targets: self
                .targets
                .for_service(service)
                .filter(|(_, state)| state.accepts(now, false, self.targets.shared()))
                .map(|(_, state)| (state.spec.name.clone(), state.load(now)))
                .collect(),
            decision,
        })
    }

    /// Explains what this node would do with a request of a caller now. Changes nothing at this node: a copy of it
    /// handles the request, so that each decision is made by the functions that handle requests. The copy takes
    /// the memory of the node's state for the time of the call.
    ///
    /// Returns `None` without a configuration, or if it lacks the service or the customer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::{Arrival, Identity, Node, Origin, Ticket};
    /// use seam_protocol::{CustomerId, Fingerprint, Incarnation, RegionId, ServiceId, Time, VmId};
    /// let id = Identity { vm: VmId(1), region: RegionId(1), incarnation: Incarnation(1) };
    /// let arrival = Arrival {
    ///     ticket: Ticket(0), origin: Origin::Caller, customer: CustomerId(1), service: ServiceId(1),
    ///     repeatable: true, replayable: true, key: None, fingerprint: Fingerprint(0),
    ///     attributes: vec![], prefix: None, budget: Duration::from_secs(1), tenant: None, route: None,
    ///     prompt: None, stream: None,
    /// };
    /// let node = Node::new(id, 1, Time(0));
    /// assert!(node.explain_request(Time(0), &arrival).is_none(), "no configuration");
    /// ```
    #[must_use]
    pub fn explain_request(&self, now: Time, arrival: &Arrival) -> Option<RequestExplanation> {
        let bundle = self.bundle.as_ref()?;
        let service = bundle.services.get(&arrival.service)?;
        let customer = bundle.customers.get(&arrival.customer)?;
        let arrival = Arrival {
            ticket: EXPLAINED,
            ..arrival.clone()
        };
        let request = self.new_request(now, &arrival);
        let mut copy = self.clone();
        let allowance = copy.preview_charge(now, EXPLAINED, &request);
        copy.trace = Some(Trace {
            ticket: EXPLAINED,
            decision: None,
            targets: Vec::new(),
        });
        let mut commands = Vec::new();
        copy.handle(now, Event::Arrive(arrival.clone()), &mut commands);
        let decision = copy.outcome(&commands);
        let held = copy.requests.get(&EXPLAINED);
        let paid = held.is_some_and(|request| request.paid.is_some());
        // A request that waits may get tokens from a pool of this node at once.
        let admitted = paid || copy.decided().is_some();
        let awaits = held.is_some_and(|request| request.stage == Stage::AwaitingTokens);
        let with_tokens = awaits.then(|| {
            commands.clear();
            copy.enter_waiting(now, EXPLAINED, &mut commands);
            copy.outcome(&commands)
        });
        let decided = copy.decided();
        let trace = copy.trace.take();
        let mut verdicts = trace.map_or_else(Vec::new, |trace| trace.targets);
        if verdicts.is_empty() {
            // It did not come to the choice of a target.
            verdicts = self.verdicts(now, &request);
        }
        let name = |id: &RegionId| {
            let region = bundle.deployment.regions.get(id);
            region.map_or_else(|| id.to_string(), |region| region.name.clone())
        };
        let names = |regions: &BTreeSet<RegionId>| regions.iter().map(name).collect::<Vec<_>>();
        let mut permitted = bundle.allowed_regions(service, customer);
        permitted.retain(|region| bundle.tenant_permits(arrival.tenant, *region));
        let tenant = arrival.tenant.and_then(|id| bundle.tenants.get(&id));
        let contest = match decided {
            Some(decision) => decision.contest,
            None => self.contest(now, &request),
        };
        Some(RequestExplanation {
            decision,
            with_tokens,
            route: customer.name.clone(),
            tenant: tenant.map(|tenant| tenant.name.clone()),
            service: service.name.clone(),
            config: self.config_stamp(now),
            repeatable: arrival.repeatable,
            homes: Homes {
                route: customer.residency.as_ref().map(names),
                tenant: tenant.and_then(|tenant| tenant.home_regions.as_ref().map(names)),
                permitted: names(&permitted),
            },
            confirmation: ConfirmationView {
                limit_ms: self.revocation_limit().map(whole_millis),
                age_ms: self.confirmation_age(now).map(whole_millis),
                admits: self.admits_keyed(now),
            },
            allowance: allowance.map(|(held, charge)| allowance_view(held, &charge, admitted)),
            competition: contest.map(competition_view),
            regions: self.region_states(now, &request, &permitted, decided),
            targets: verdicts
                .iter()
                .map(|verdict| self.target_report(now, verdict, &request))
                .collect(),
        })
    }

    /// Returns the verdicts on the targets of this region if a request came to the choice of one.
    fn verdicts(&self, now: Time, request: &Request) -> Vec<TargetVerdict> {
        let suspect = self.poison.suspected(request.fingerprint);
        let query = TargetQuery {
            prefix: request.prefix,
            suspect: suspect.then_some(request.fingerprint),
            customer: request.customer,
            prompt: request.prompt.as_deref(),
            just_booted: self.just_booted(now),
            version: request.version(),
            reserve: self.reserve(now, request),
            weighs_prefill: self.competes(request),
            ..TargetQuery::default()
        };
        let (service, prefixes) = (request.service, &self.prefixes);
        self.targets
            .verdicts(now, service, query, prefixes, &self.rng)
    }

    fn region_states(
        &self,
        now: Time,
        request: &Request,
        permitted: &BTreeSet<RegionId>,
        decided: Option<RoutingDecision>,
    ) -> Vec<RegionState> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let local = decided.map(|decision| decision.local);
        let local = local.unwrap_or_else(|| self.local_view(now, request));
        let remotes = self.remote_views(now, request);
        let serving = self.targets.for_service(request.service);
        let serving = serving.filter(|(_, state)| state.phase == Phase::Serving);
        let free = serving.map(|(_, state)| state.spec.slots.saturating_sub(state.load(now)));
        let free = free.sum();
        let regions = bundle.deployment.regions.iter();
        let regions = regions.map(|(id, region)| {
            let own = *id == self.id.region;
            let remote = remotes.iter().find(|view| view.region == *id);
            let round_trip = Duration::from_micros(2 * bundle.delay(self.id.region, *id));
            let wait = if own {
                local.possible.then_some(local.wait)
            } else {
                remote.map(|view| view.wait)
            };
            RegionState {
                name: region.name.clone(),
                permitted: permitted.contains(id),
                known: own || remote.is_some(),
                round_trip_ms: millis(round_trip),
                wait_ms: wait.map(millis),
                free: if own {
                    Some(free)
                } else {
                    remote.map(|view| view.free)
                },
            }
        });
        regions.collect()
    }

    fn target_report(&self, now: Time, verdict: &TargetVerdict, request: &Request) -> TargetReport {
        let state = self.targets.get(verdict.key);
        let memory = state.memory_tokens();
        let tokens = request.prompt.as_ref().map(|prompt| prompt.input_tokens);
        let cached = tokens.zip(verdict.uncached);
        TargetReport {
            name: state.spec.name.clone(),
            phase: phase_text(now, state.phase),
            load: state.load(now),
            running: state.running,
            slots: state.spec.slots,
            memory_used: memory.map(|_| state.kv_tokens(now)),
            memory: memory.map(|tokens| tokens as u64),
            cached_tokens: cached.map(|(tokens, uncached)| tokens.saturating_sub(uncached)),
            uncached_tokens: verdict.uncached,
            first_token_ms: verdict.first_token_ms.map(tenths),
            cost_ms: verdict.cost_ms.map(tenths),
            first: verdict.verdict == Verdict::Chosen,
            reason: verdict.verdict.text().to_owned(),
        }
    }

    /// Returns the last routing decision on the explained request, in a copy of a node that has handled it.
    fn decided(&self) -> Option<RoutingDecision> {
        self.trace.as_ref()?.decision
    }

    /// Returns what became of the explained request, in a copy of a node that has handled it.
    fn outcome(&self, commands: &[Command]) -> DecisionView {
        let view = |action: &str, to: Option<String>, reason: String| DecisionView {
            action: action.to_owned(),
            to,
            reason,
            retry_ms: None,
        };
        let decided = self.decided();
        let basis = decided.map_or_else(String::new, |decision| self.basis(&decision));
        for command in commands {
            match command {
                Command::Refuse {
                    ticket: EXPLAINED,
                    refusal,
                } => {
                    let reason = refusal.reason;
                    let text = format!("{}: {}{basis}", reason.slug(), reason.help());
                    return DecisionView {
                        retry_ms: refusal.retry_after.map(whole_millis),
                        ..view("refuse", None, text)
                    };
                }
                Command::Send {
                    ticket: EXPLAINED,
                    target,
                    ..
                } => {
                    let key = self.targets.key(*target);
                    let name = key.map(|key| self.targets.get(key).spec.name.clone());
                    let reason = format!("a target of this region takes it now{basis}");
                    return view("target", name, reason);
                }
                Command::Forward {
                    ticket: EXPLAINED,
                    vm,
                    ..
                } => return self.forward_view(*vm, &basis),
                _ => {}
            }
        }
        let stage = self.requests.get(&EXPLAINED).map(|request| request.stage);
        let (action, reason) = match stage {
            Some(Stage::Queued) => ("queue", "it waits here for a target of this region"),
            Some(Stage::Parked) => (
                "wait",
                "it waits for a free concurrency unit of its customer",
            ),
            Some(Stage::AwaitingTokens) => {
                ("wait", "it waits for tokens of its tenant's allowance")
            }
            Some(Stage::Asking) => ("wait", "it waits for the version that began its stream"),
            Some(Stage::Joined) => ("wait", "it waits for another request with the same key"),
            _ => ("wait", "it is not decided yet"),
        };
        view(action, None, format!("{reason}{basis}"))
    }

    fn forward_view(&self, vm: VmId, basis: &str) -> DecisionView {
        let deployment = self.bundle.as_ref().map(|bundle| &bundle.deployment);
        let node = deployment.and_then(|deployment| deployment.vms.get(&vm));
        let elsewhere = node.filter(|node| node.region != self.id.region);
        let region = elsewhere.zip(deployment).and_then(|(node, deployment)| {
            let region = deployment.regions.get(&node.region)?;
            Some(region.name.clone())
        });
        let name = node.map_or_else(|| vm.to_string(), |node| node.name.clone());
        match region {
            Some(region) => DecisionView {
                action: "region".to_owned(),
                to: Some(region),
                reason: format!("it is forwarded to the node {name}{basis}"),
                retry_ms: None,
            },
            None => DecisionView {
                action: "node".to_owned(),
                to: Some(name),
                reason: format!("another node of this region uses the targets{basis}"),
                retry_ms: None,
            },
        }
    }

    /// Returns the figures of a routing decision as a text that follows the reason.
    fn basis(&self, decision: &RoutingDecision) -> String {
        let local = if decision.local.possible {
            format!(
                "the predicted wait here is {:.0} ms",
                millis(decision.local.wait)
            )
        } else {
            "no target here serves it".to_owned()
        };
        let other = decision.best.map_or_else(String::new, |best| {
            let deployment = self.bundle.as_ref().map(|bundle| &bundle.deployment);
            let region = deployment.and_then(|known| known.regions.get(&best.region));
            let name = region.map_or("", |region| region.name.as_str());
            let delay = millis(best.round_trip + best.wait);
            format!(", and {delay:.0} ms with the round trip in {name:?}")
        });
        let (limit, expected) = (decision.request.budget, decision.request.expected);
        format!(
            "; {local}{other}; its response is expected {:.0} ms later and has to begin within {:.0} ms",
            millis(expected),
            millis(limit)
        )
    }

    /// Returns the nodes that a customer should call, best first.
    ///
    /// Ready nodes are sorted by network delay from this region, so that its own nodes come first.
    /// Nodes at the same delay follow a rank by customer, which spreads customers over them.
    #[must_use]
    pub fn entries(&self, now: Time, customer: CustomerId) -> Entries {
        const VALID: Duration = Duration::from_secs(5);
        let Some(bundle) = &self.bundle else {
            return Entries {
                nodes: Vec::new(),
                valid: Duration::ZERO,
            };
        };
        let mut nodes: Vec<(u64, std::cmp::Reverse<u64>, VmId)> = bundle
            .deployment
            .vms
            .iter()
            .filter(|(id, _)| self.known_ready(now, **id))
            .map(|(id, vm)| {
                let delay = bundle.delay(self.id.region, vm.region);
                let rank = seam_protocol::id::rank(customer.0, u64::from(id.0));
                (delay, std::cmp::Reverse(rank), *id)
            })
            .collect();
        nodes.sort_unstable();
        Entries {
            nodes: nodes.into_iter().map(|(_, _, id)| id).collect(),
            valid: VALID,
        }
    }

    /// Returns whether this node or another one is known to be ready for requests.
    pub(crate) fn known_ready(&self, now: Time, vm: VmId) -> bool {
        if vm == self.id.vm {
            return self.ready(now);
        }
        if self.peers.ready(now, vm) {
            return true;
        }
        // Nodes of other regions are known only by region summaries, which list a few ready nodes.
        self.regions
            .get(&vm)
            .filter(|region| **region != self.id.region)
            .is_some_and(|region| self.peers.listed_ready(now, *region, vm))
    }
}

fn describe(
    choice: crate::spill::RegionChoice,
    allowed: &BTreeSet<seam_protocol::RegionId>,
    bundle: &seam_protocol::Bundle,
) -> String {
    use crate::spill::RegionChoice;
    match choice {
        _ if allowed.is_empty() => "refused: no region satisfies the residency".to_owned(),
        RegionChoice::Local => "served in this region".to_owned(),
        RegionChoice::Remote(region) => {
            let name = &bundle.deployment.regions[&region].name;
            format!("sent to region {name:?}")
        }
        RegionChoice::Refuse(Some(wait)) => {
            format!("refused: the predicted wait is {} ms", wait.as_millis())
        }
        RegionChoice::Refuse(None) => "refused: no target takes work".to_owned(),
    }
}

/// Returns a time in milliseconds, to a tenth.
fn millis(time: Duration) -> f64 {
    tenths(time.as_secs_f64() * 1000.0)
}

fn tenths(number: f64) -> f64 {
    (number * 10.0).round() / 10.0
}

fn whole_millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

fn allowance_view(held: f64, charge: &Charge, admitted: bool) -> AllowanceView {
    let (decision, retry) = match charge.decision {
        _ if admitted => ("admits", None),
        Decision::Admit => ("admits", None),
        Decision::Wait => ("waits", None),
        Decision::Refuse(wait) => ("refuses", Some(wait)),
    };
    AllowanceView {
        cost: charge.cost,
        held: tenths(held),
        decision: decision.to_owned(),
        retry_ms: retry.map(whole_millis),
    }
}

fn competition_view(contest: Contest) -> CompetitionView {
    let hundredths = |part: f64| (part * 100.0).round() / 100.0;
    CompetitionView {
        rank: contest.rank,
        held_for: contest.held_for,
        excess: contest.excess,
        room: contest.room.name().to_owned(),
        urgent_wait_ms: millis(contest.pressure.wait),
        slots: hundredths(contest.pressure.slots),
        memory: hundredths(contest.pressure.memory),
    }
}

fn phase_text(now: Time, phase: Phase) -> String {
    match phase {
        Phase::Serving => "serving".to_owned(),
        Phase::Ejected(until) => format!("ejected for {} ms", until.since(now).as_millis()),
        Phase::Probing => "being probed".to_owned(),
        Phase::Leaving => "leaving".to_owned(),
        Phase::Drained => "drained".to_owned(),
        Phase::Gone => "gone".to_owned(),
    }
}
