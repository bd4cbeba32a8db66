//! Scenarios in TOML: a deployment, calls, faults at given times, and expectations.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::{CustomerId, Outcome, RegionId, ServiceId, Time, VmId};
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::deployments::{self, WRITER};
use crate::fault::Fault;
use crate::ids::{KeyChoice, OpId};
use crate::oracle::Breach;
use crate::traffic::{Peak, Traffic};
use crate::world::{Call, World};

/// Reasons why a scenario cannot run.
#[derive(Debug, Snafu)]
pub enum ScenarioError {
    /// The text is not a valid scenario.
    #[snafu(display("{source}"))]
    Text {
        /// Error of the TOML parser.
        source: toml::de::Error,
    },
    /// A resend names a call that is not defined, has not started or got no key.
    #[snafu(display("no earlier call is named {name:?}"))]
    Call {
        /// Name in the scenario.
        name: String,
    },
    /// The deployment is unknown.
    #[snafu(display("unknown deployment {name:?}; use \"hamutenya\" or \"bulabula\""))]
    Deployment {
        /// Name in the scenario.
        name: String,
    },
}

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What the scenario demonstrates.
    pub shows: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of all random numbers.
    #[serde(default)]
    pub seed: u64,
    /// End of the scenario, in seconds.
    pub end_s: f64,
    /// Start of counting, in seconds: later requests are measured.
    #[serde(default)]
    pub count_from_s: f64,
    /// End of counting, in seconds; the end of the scenario by default.
    pub count_until_s: Option<f64>,
    /// Open-loop traffic.
    #[serde(default)]
    pub traffic: Vec<TrafficSpec>,
    /// Single calls.
    #[serde(default)]
    pub call: Vec<CallSpec>,
    /// Resends of single calls.
    #[serde(default)]
    pub resend: Vec<ResendSpec>,
    /// Faults.
    #[serde(default)]
    pub fault: Vec<FaultSpec>,
    /// Expectations, besides the guarantees that the oracle checks.
    #[serde(default)]
    pub expect: Expect,
}

/// A `[[traffic]]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficSpec {
    customer: String,
    region: String,
    #[serde(default = "writer")]
    service: String,
    rate: f64,
    #[serde(default)]
    from_s: f64,
    until_s: Option<f64>,
    #[serde(default)]
    key: KeySpec,
    #[serde(default)]
    prefixes: u64,
    #[serde(default = "default_deadline")]
    deadline_s: f64,
    peak: Option<PeakSpec>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PeakSpec {
    middle_s: f64,
    width_s: f64,
    factor: f64,
}

/// A `[[call]]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallSpec {
    name: String,
    at_s: f64,
    customer: String,
    vm: String,
    #[serde(default = "writer")]
    service: String,
    #[serde(default)]
    key: KeySpec,
    #[serde(default)]
    poison: bool,
    #[serde(default = "default_deadline")]
    deadline_s: f64,
}

/// A `[[resend]]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResendSpec {
    call: String,
    at_s: f64,
    vm: String,
}

/// A `[[fault]]` table.
#[derive(Clone, Debug, Deserialize)]
pub struct FaultSpec {
    at_s: f64,
    #[serde(flatten)]
    fault: Fault,
}

/// The `[expect]` table.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Minimum share of measured requests with a complete response in time, by the caller's region.
    #[serde(default)]
    good_share: BTreeMap<String, f64>,
    /// Maximum share of measured responses from another region, by the caller's region.
    #[serde(rename = "away_share", default)]
    remote_share: BTreeMap<String, f64>,
    /// Outcomes of single calls, one per request.
    #[serde(rename = "told", default)]
    outcomes: BTreeMap<String, Vec<String>>,
    /// Number of runs of single calls.
    #[serde(default)]
    runs: BTreeMap<String, usize>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KeySpec {
    #[default]
    None,
    Issued,
    Caller,
}

impl KeySpec {
    fn choice(self) -> KeyChoice {
        match self {
            Self::None => KeyChoice::None,
            Self::Issued => KeyChoice::Issued,
            Self::Caller => KeyChoice::Caller,
        }
    }
}

fn writer() -> String {
    WRITER.to_owned()
}

fn default_deadline() -> f64 {
    10.0
}

fn time(seconds: f64) -> Time {
    Time(0) + Duration::from_secs_f64(seconds.max(0.0))
}

/// Result of a scenario.
#[derive(Debug)]
pub struct Report {
    /// Violated guarantees.
    pub breaches: Vec<Breach>,
    /// Messages about expectations that were not met.
    pub unmet: Vec<String>,
    /// The world at the end.
    pub world: World,
}

/// A step of a scenario at a given time.
enum Action<'a> {
    Call(&'a CallSpec),
    Resend(&'a ResendSpec),
    Count(bool),
}

impl Scenario {
    /// Parses a scenario.
    ///
    /// ```
    /// use seam_harness::scenario::Scenario;
    /// let text = "shows = \"nothing\"\ndeployment = \"hamutenya\"\nend_s = 1";
    /// let report = Scenario::read(text).unwrap().run().unwrap();
    /// assert!(report.breaches.is_empty());
    /// ```
    ///
    /// # Errors
    /// [`ScenarioError::Text`] with the line and column.
    pub fn read(text: &str) -> Result<Self, ScenarioError> {
        toml::from_str(text).context(TextSnafu)
    }

    /// Runs the scenario.
    ///
    /// # Errors
    /// [`ScenarioError::Deployment`] if the deployment is unknown, [`ScenarioError::Call`] if a
    /// resend names a call that has not started or got no key.
    pub fn run(&self) -> Result<Report, ScenarioError> {
        let deployment = match self.deployment.as_str() {
            "hamutenya" => deployments::hamutenya(),
            "bulabula" => deployments::bulabula(),
            name => return DeploymentSnafu { name }.fail(),
        };
        let mut world = World::new(deployments::bundle(&deployment), self.seed);
        for spec in &self.traffic {
            world.add_traffic(self.traffic_of(spec));
        }
        for spec in &self.fault {
            world.schedule_fault(time(spec.at_s), spec.fault.clone());
        }
        let ops = self.run_steps(&mut world)?;
        world.run_until(time(self.end_s));
        let unmet = self.unmet(&world, &ops);
        Ok(Report {
            breaches: world.oracle.breaches.clone(),
            unmet,
            world,
        })
    }

    fn run_steps(&self, world: &mut World) -> Result<BTreeMap<String, OpId>, ScenarioError> {
        let until = self.count_until_s.unwrap_or(self.end_s);
        let mut actions = vec![
            (self.count_from_s, Action::Count(true)),
            (until, Action::Count(false)),
        ];
        actions.extend(self.call.iter().map(|spec| (spec.at_s, Action::Call(spec))));
        actions.extend(
            self.resend
                .iter()
                .map(|spec| (spec.at_s, Action::Resend(spec))),
        );
        actions.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let mut ops = BTreeMap::new();
        for (at, action) in actions {
            world.run_until(time(at));
            match action {
                Action::Count(on) => world.stats.counting = on,
                Action::Call(spec) => {
                    if let Some(op) = world.call(spec.call()) {
                        ops.insert(spec.name.clone(), op);
                    }
                }
                Action::Resend(spec) => {
                    let name = &spec.call;
                    let op = ops.get(name).context(CallSnafu { name })?;
                    world.resend(*op, VmId::of(&spec.vm));
                }
            }
        }
        Ok(ops)
    }

    fn traffic_of(&self, spec: &TrafficSpec) -> Traffic {
        Traffic {
            customer: CustomerId::of(&spec.customer),
            region: RegionId::of(&spec.region),
            service: ServiceId::of(&spec.service),
            rate: spec.rate,
            peak: spec.peak.map(|peak| Peak {
                middle: time(peak.middle_s),
                width: Duration::from_secs_f64(peak.width_s),
                factor: peak.factor,
            }),
            from: time(spec.from_s),
            until: time(spec.until_s.unwrap_or(self.end_s)),
            repeatable: spec.service == WRITER,
            key: spec.key.choice(),
            prefixes: spec.prefixes,
            budget: Duration::from_secs_f64(spec.deadline_s),
        }
    }

    fn unmet(&self, world: &World, ops: &BTreeMap<String, OpId>) -> Vec<String> {
        let mut unmet = Vec::new();
        let tally = |region: &String| world.stats.regions.get(&RegionId::of(region));
        for (region, min) in &self.expect.good_share {
            let share = tally(region).map_or(0.0, crate::stats::Tally::good_share);
            if share < *min {
                unmet.push(format!(
                    "{region}: share in time {share:.4}, expected at least {min}"
                ));
            }
        }
        for (region, max) in &self.expect.remote_share {
            let share = tally(region).map_or(0.0, crate::stats::Tally::remote_share);
            if share > *max {
                unmet.push(format!(
                    "{region}: share from other regions {share:.4}, expected at most {max}"
                ));
            }
        }
        for (name, expected) in &self.expect.outcomes {
            let outcomes = outcomes(world, ops.get(name));
            if outcomes != *expected {
                unmet.push(format!(
                    "call {name:?} had outcomes {outcomes:?}, expected {expected:?}"
                ));
            }
        }
        for (name, expected) in &self.expect.runs {
            let op = ops.get(name).and_then(|op| world.oracle.ops.get(op));
            let runs = op.map_or(0, |op| op.runs.len());
            if runs != *expected {
                unmet.push(format!(
                    "call {name:?} ran {runs} times, expected {expected}"
                ));
            }
        }
        unmet
    }
}

fn outcomes(world: &World, op: Option<&OpId>) -> Vec<String> {
    let Some(op) = op.and_then(|op| world.oracle.ops.get(op)) else {
        return vec!["no key".to_owned()];
    };
    op.requests
        .iter()
        .map(|request| match world.oracle.requests[request].outcome {
            Some(Outcome::Complete) => "complete".to_owned(),
            Some(Outcome::NotRun) => "not_run".to_owned(),
            Some(Outcome::Unknown) => "unknown".to_owned(),
            None => "nothing".to_owned(),
        })
        .collect()
}

impl CallSpec {
    fn call(&self) -> Call {
        Call {
            customer: CustomerId::of(&self.customer),
            service: ServiceId::of(&self.service),
            vm: VmId::of(&self.vm),
            repeatable: self.service == WRITER,
            key: self.key.choice(),
            prefix: None,
            poison: self.poison,
            budget: Duration::from_secs_f64(self.deadline_s),
        }
    }
}
