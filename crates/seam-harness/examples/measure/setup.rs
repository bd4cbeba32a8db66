//! Load that is stated as a part of each region's capacity.

use std::time::Duration;

use seam_core::node::Policy;
use seam_harness::World;
use seam_harness::deployments::{self, DeploymentSpec, WRITER, customer_name};
use seam_harness::ids::KeyChoice;
use seam_harness::traffic::{Peak, Traffic};
use seam_protocol::{CustomerId, RegionId, ServiceId, Time};

/// Mean service time over the stated one, with a batch three quarters full.
const BATCH: f64 = 1.2;
/// Part of the service time that is left with the caches warm.
const WARM: f64 = 0.75;
/// Customers with callers in each region.
pub const CUSTOMERS: usize = 12;

/// Both users' deployments.
pub fn both_deployments() -> [DeploymentSpec; 2] {
    let mut specs = [deployments::hamutenya(), deployments::bulabula()];
    for spec in &mut specs {
        spec.concurrency = 600;
    }
    specs
}

/// Returns the requests a second that a region's engines can serve.
pub fn capacity(spec: &DeploymentSpec, region: usize) -> f64 {
    let writer = &spec.services[0];
    let slots = writer.targets[region] as f64 * f64::from(writer.slots);
    let seconds = writer.expected_ms as f64 / 1000.0 * BATCH * WARM;
    slots / seconds
}

/// Makes a world without traffic.
pub fn world(spec: &DeploymentSpec, seed: u64, policy: Policy) -> World {
    let mut bundle = deployments::bundle(spec);
    for customer in bundle.customers.values_mut() {
        customer.residency = None;
    }
    World::with_policy(bundle, seed, policy)
}

/// Returns a customer whose callers are in a region.
pub fn customer(spec: &DeploymentSpec, region: usize, index: usize) -> CustomerId {
    let regions = spec.regions.len();
    CustomerId::of(&customer_name((index * regions + region) % spec.customers))
}

/// Returns traffic of one customer in its region.
pub fn traffic(
    spec: &DeploymentSpec,
    region: usize,
    index: usize,
    rate: f64,
    until: f64,
) -> Traffic {
    let deadline_ms = spec.services[0].deadline_ms;
    Traffic {
        customer: customer(spec, region, index),
        region: RegionId::of(&spec.regions[region].0),
        service: ServiceId::of(WRITER),
        rate,
        peak: None,
        from: Time(6_000_000),
        until: seconds(until),
        repeatable: true,
        key: KeyChoice::None,
        prefixes: 4,
        budget: Duration::from_millis(deadline_ms),
    }
}

/// Adds callers of every region whose sum is a part of each region's capacity.
pub fn add_load(world: &mut World, spec: &DeploymentSpec, part: f64, until: f64, peaks: &[Peak]) {
    for region in 0..spec.regions.len() {
        let rate = capacity(spec, region) * part / CUSTOMERS as f64;
        for index in 0..CUSTOMERS {
            let mut traffic = traffic(spec, region, index, rate, until);
            traffic.peak = peaks.get(region).copied();
            world.add_traffic(traffic);
        }
    }
}

/// Returns a time.
pub fn seconds(seconds: f64) -> Time {
    Time((seconds * 1e6) as u64)
}

/// Returns milliseconds.
pub fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}
