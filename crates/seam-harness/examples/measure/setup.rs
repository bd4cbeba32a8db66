//! Worlds and traffic whose load is given as a fraction of each region's capacity.

use std::time::Duration;

use seam_core::node::Policy;
use seam_harness::World;
use seam_harness::deployments::{self, DeploymentSpec, WRITER, customer_name};
use seam_harness::ids::KeyChoice;
use seam_harness::traffic::{Peak, Traffic};
use seam_protocol::{CustomerId, RegionId, ServiceId, Time};

/// Ratio of the mean service time to the configured one, with a batch three quarters full.
const BATCH_FACTOR: f64 = 1.2;
/// Fraction of the service time that remains with warm prefix caches.
const WARM_FACTOR: f64 = 0.75;
/// Customers with callers in each region.
pub const CUSTOMERS: usize = 12;

/// Returns the two reference deployments with a higher concurrency for each customer.
pub fn both_deployments() -> [DeploymentSpec; 2] {
    let mut specs = [deployments::hamutenya(), deployments::bulabula()];
    for spec in &mut specs {
        spec.concurrency = 600;
    }
    specs
}

/// Returns the requests per second that a region's engines can serve.
pub fn capacity(spec: &DeploymentSpec, region: usize) -> f64 {
    let writer = &spec.services[0];
    let slots = writer.targets[region] as f64 * f64::from(writer.slots);
    let seconds = writer.expected_ms as f64 / 1000.0 * BATCH_FACTOR * WARM_FACTOR;
    slots / seconds
}

/// Creates a world without traffic and without residency rules.
pub fn world(spec: &DeploymentSpec, seed: u64, policy: Policy) -> World {
    let mut bundle = deployments::bundle(spec);
    for customer in bundle.customers.values_mut() {
        customer.residency = None;
    }
    World::with_policy(bundle, seed, policy)
}

/// Returns the ID of the `index`th customer whose callers are in a region.
pub fn customer(spec: &DeploymentSpec, region: usize, index: usize) -> CustomerId {
    let regions = spec.regions.len();
    CustomerId::of(&customer_name((index * regions + region) % spec.customers))
}

/// Returns the traffic of one customer in its region, at `rate` requests per second until a time in
/// seconds.
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

/// Adds traffic in every region that sums up to a fraction `load` of the region's capacity.
pub fn add_load(world: &mut World, spec: &DeploymentSpec, load: f64, until: f64, peaks: &[Peak]) {
    for region in 0..spec.regions.len() {
        let rate = capacity(spec, region) * load / CUSTOMERS as f64;
        for index in 0..CUSTOMERS {
            let mut traffic = traffic(spec, region, index, rate, until);
            traffic.peak = peaks.get(region).copied();
            world.add_traffic(traffic);
        }
    }
}

/// Converts seconds to a time.
pub fn seconds(seconds: f64) -> Time {
    Time((seconds * 1e6) as u64)
}

/// Converts a duration to milliseconds.
pub fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}
