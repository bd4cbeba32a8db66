//! Requests of callers, as nodes read and answer them.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_core::{Arrival, Refusal, RouteRules};
use seam_protocol::{CustomerId, Digest, HostRoute, Outcome, Reason, ServiceId, Time};

use crate::attempts::{Reply, Run, Transfer};
use crate::fleet::{PLAIN, arrival};
use crate::mutants::InjectedFault;
use crate::oracle::{Handling, TIMEOUT_SLACK};
use crate::versions::{BODY_LIMITS, HOST, REGIONS, TIMEOUTS, prefix, route_customer};
use crate::world::Simulation;

/// A request without a final response.
pub struct OpenRequest {
    pub node: usize,
    pub route: usize,
    /// Index of the caller's region.
    pub caller: usize,
    pub sent: Time,
    pub boot: u64,
    /// Time within which a version is in force at the node, `None` if there is no bound.
    pub bound: Option<Duration>,
    /// Bytes of its body.
    pub body: usize,
    /// When the body is complete, until it has been passed on.
    pub arrives: Option<Time>,
    /// When it was passed on.
    pub passed: Option<Time>,
    /// Whether its route was looked up after its body.
    pub found: bool,
    /// Requests to its service without a final response when it was sent, itself included.
    pub load: usize,
    /// How the node decided on its head.
    pub decision: Option<Decision>,
}

/// What a node reads in the configuration about a request.
#[derive(Clone, Copy)]
pub struct Decision {
    pub customer: CustomerId,
    pub service: ServiceId,
    pub rules: RouteRules,
    pub budget: Duration,
}

/// Requests on their way.
#[derive(Default)]
pub struct Traffic {
    pub open: BTreeMap<u64, OpenRequest>,
    pub tickets: u64,
    pub transfers: Vec<Transfer>,
    pub replies: Vec<Reply>,
    pub runs: Vec<Run>,
    /// Run time of each service, if it differs from the usual.
    pub run_times: BTreeMap<ServiceId, Duration>,
    /// Requests that began to run, and how many of them were forwarded, waited in a queue, or were sent
    /// to a node for which a bound holds: the usual one, or the longer one beside a disturbed store.
    pub counts: Counts,
}

/// Numbers of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub runs: u64,
    pub forwarded: u64,
    pub queued: u64,
    pub in_time: u64,
    pub longer: u64,
    /// Answers of the directory that name another region than the one asked for.
    pub named_elsewhere: u64,
}

/// Returns the rules that a route sets for a request.
pub fn rules(route: &HostRoute) -> RouteRules {
    RouteRules {
        objective: Duration::from_millis(route.objective),
        max_attempts: u32::from(route.attempts),
        rank: route.rank,
        kind: route.rank,
        streams: false,
        resumable: false,
    }
}

impl Simulation {
    /// Sends a request of a route to a node, which reads its body for a time.
    pub fn send(&mut self, node: usize, route: usize, reading: Duration, large: bool) {
        let core = &self.fleet.nodes[node];
        if self.fleet.down[node] || !core.configured() {
            return;
        }
        let now = self.fleet.now;
        let mut request = OpenRequest {
            node,
            route,
            caller: self.caller_region(node),
            sent: now,
            boot: self.nodes[node].boot,
            bound: self.bound(node),
            body: BODY_LIMITS[usize::from(large)],
            arrives: Some(now + reading),
            passed: None,
            found: false,
            load: 1,
            decision: None,
        };
        let Some((matched, service)) = self.look_up(&request) else {
            return;
        };
        let mut timeout = Duration::from_millis(matched.timeout);
        if self.fault == InjectedFault::CutEarly {
            timeout = Duration::from_millis(TIMEOUTS[0]);
        }
        if reading >= timeout {
            // The body takes too long, which status 408 says.
            return;
        }
        request.decision = Some(Decision {
            customer: route_customer(&matched, self.fault),
            service,
            rules: rules(&matched),
            budget: timeout.saturating_sub(reading),
        });
        request.load += self.load(service);
        self.traffic.tickets += 1;
        self.traffic.open.insert(self.traffic.tickets, request);
        self.find_routes();
        self.arrive();
        self.collect();
    }

    /// Returns the region of the next caller at a node. Some come from another region.
    fn caller_region(&self, node: usize) -> usize {
        let own = self.region(node);
        if self.traffic.tickets % 4 == 3 {
            (own + 1) % REGIONS.len()
        } else {
            own
        }
    }

    /// Returns the route of a request at its node, and the service. Judges the refusal of one without
    /// a route, or with a larger body than allowed.
    fn look_up(&mut self, request: &OpenRequest) -> Option<(HostRoute, ServiceId)> {
        let node = request.node;
        let bundle = self.fleet.nodes[node].bundle().cloned();
        let mut bundle = bundle.expect("a bundle is in force");
        if self.fault == InjectedFault::RouteOnce {
            bundle = self.nodes[node].first.get_or_insert(bundle).clone();
        }
        let path = format!("{}x", prefix(request.route));
        let found = bundle.routes.find(HOST, &path);
        let service = found.and_then(|route| route.service(Digest::of(&[]).leading_u64()));
        let Some((matched, service)) = found.zip(service) else {
            if self.fleet.nodes[node].config_outdated() {
                self.judge_refusal(request, Reason::Revision);
            } else {
                self.judge(request, Handling::Wrong);
            }
            return None;
        };
        let limits = bundle.limits.as_ref();
        if limits.is_some_and(|limits| limits.body_bytes < request.body) {
            self.judge(request, Handling::Oversize);
            return None;
        }
        Some((matched.clone(), service))
    }

    /// Returns the number of requests to a service without a final response.
    pub fn load(&self, service: ServiceId) -> usize {
        let open = self.traffic.open.values();
        open.filter_map(|request| request.decision)
            .filter(|decision| decision.service == service)
            .count()
    }

    /// Ends requests that have no response though the longest timeout has passed.
    pub fn end_overdue(&mut self) {
        let longest = Duration::from_millis(TIMEOUTS[1]) + TIMEOUT_SLACK;
        let now = self.fleet.now;
        let open = self.traffic.open.iter();
        let overdue: Vec<u64> = open
            .filter(|(_, request)| now.since(request.sent) > longest)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in overdue {
            self.answer(ticket);
        }
    }

    /// Looks up the routes of requests whose bodies are read.
    pub fn find_routes(&mut self) {
        for ticket in self.due(false) {
            let Some(mut request) = self.traffic.open.remove(&ticket) else {
                continue;
            };
            let Some((matched, service)) = self.look_up(&request) else {
                continue;
            };
            let Some(decision) = &mut request.decision else {
                continue;
            };
            decision.customer = route_customer(&matched, self.fault);
            decision.service = service;
            decision.rules = rules(&matched);
            request.found = true;
            self.traffic.open.insert(ticket, request);
        }
    }

    fn due(&self, found: bool) -> Vec<u64> {
        let now = self.fleet.now;
        let down = &self.fleet.down;
        let due = self.traffic.open.iter().filter(|(_, request)| {
            let read = request.arrives.is_some_and(|at| at <= now);
            read && request.found == found && !down[request.node]
        });
        due.map(|(ticket, _)| *ticket).collect()
    }

    /// Passes on the requests whose routes are found. Another version may be in force by now.
    pub fn arrive(&mut self) {
        let now = self.fleet.now;
        for ticket in self.due(true) {
            let Some(mut request) = self.traffic.open.remove(&ticket) else {
                continue;
            };
            let Some(decision) = request.decision else {
                continue;
            };
            let arrival = Arrival {
                customer: decision.customer,
                service: decision.service,
                budget: decision.budget,
                tenant: None,
                route: Some(decision.rules),
                ..arrival(ticket, "", PLAIN, 1)
            };
            request.arrives = None;
            request.passed = Some(now);
            let node = request.node;
            self.traffic.open.insert(ticket, request);
            self.fleet.arrive(node, arrival);
        }
    }

    /// Ends a request with a response of a target.
    pub fn answer(&mut self, ticket: u64) {
        if let Some(request) = self.traffic.open.remove(&ticket) {
            let elapsed = self.fleet.now.since(request.sent);
            self.judge(&request, Handling::Answered(elapsed));
        }
    }

    /// Ends a request with a refusal of the node that its caller sent it to.
    pub fn end_refused(&mut self, ticket: u64, refusal: Refusal) {
        let Some(request) = self.traffic.open.remove(&ticket) else {
            return;
        };
        let elapsed = self.fleet.now.since(request.sent);
        let mut reason = refusal.reason;
        if self.fault == InjectedFault::RefuseForGood && reason == Reason::Revision {
            reason = Reason::Service;
        }
        match (refusal.outcome, reason) {
            (Outcome::NotRun, Reason::Service | Reason::Credential | Reason::Residency) => {
                self.judge(&request, Handling::Wrong);
            }
            (Outcome::NotRun, Reason::Revision | Reason::NoTarget) => {
                self.judge_refusal(&request, reason);
            }
            (Outcome::Unknown, Reason::Deadline) => {
                self.judge(&request, Handling::TimedOut(elapsed));
            }
            _ => {}
        }
        self.judge(&request, Handling::Answered(elapsed));
    }
}
