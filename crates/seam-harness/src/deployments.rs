//! Deployments that worlds run.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use seam_protocol::bundle::{Capacity, Deployment, Link};
use seam_protocol::{
    Bundle, CentreId, Customer, CustomerId, DataCentre, Digest, Kind, Region, RegionId, Route,
    Service, ServiceId, Target, TargetId, Vm, VmId,
};

/// Parameters of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// Name.
    pub name: &'static str,
    /// Region names with the number of VMs in each.
    pub regions: Vec<(String, usize)>,
    /// One-way delay between regions in microseconds.
    pub delay_us: u64,
    /// Weight of tail latency against serving in the caller's region, from 0 to 1.
    pub latency_weight: f64,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Number of customers.
    pub customers: usize,
    /// Concurrency of each customer.
    pub concurrency: u32,
}

/// Parameters of a service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Kind.
    pub kind: Kind,
    /// Number of targets in each region, in the order of the regions.
    pub targets: Vec<usize>,
    /// Concurrent requests of each target.
    pub slots: u32,
    /// Expected service time in milliseconds.
    pub expected_ms: u64,
    /// Default deadline in milliseconds.
    pub deadline_ms: u64,
}

/// Name of the plain service, whose POST requests are not idempotent.
pub const DESK: &str = "desk";
/// Name of the service that model engines provide.
pub const WRITER: &str = "writer";

fn even_regions(names: &[&str], nodes: usize) -> Vec<(String, usize)> {
    names
        .iter()
        .map(|name| ((*name).to_owned(), nodes))
        .collect()
}

fn writer(targets: Vec<usize>, expected_ms: u64, deadline_ms: u64) -> ServiceSpec {
    ServiceSpec {
        name: WRITER.to_owned(),
        kind: Kind::Engine,
        targets,
        slots: 8,
        expected_ms,
        deadline_ms,
    }
}

fn desk(targets: Vec<usize>) -> ServiceSpec {
    ServiceSpec {
        name: DESK.to_owned(),
        kind: Kind::Plain,
        targets,
        slots: 16,
        expected_ms: 30,
        deadline_ms: 5000,
    }
}

/// Returns a deployment of three regions that favours low tail latency.
#[must_use]
pub fn hamutenya() -> DeploymentSpec {
    DeploymentSpec {
        name: "hamutenya",
        regions: even_regions(&["khomas", "erongo", "oshana"], 3),
        delay_us: 80_000,
        latency_weight: 0.8,
        services: vec![writer(vec![6, 4, 2], 1500, 10_000), desk(vec![1, 1, 1])],
        customers: 60,
        concurrency: 64,
    }
}

/// Returns a deployment of three regions that favours serving requests in the caller's region.
#[must_use]
pub fn bulabula() -> DeploymentSpec {
    DeploymentSpec {
        name: "bulabula",
        regions: even_regions(&["suva", "lautoka", "labasa"], 3),
        delay_us: 80_000,
        latency_weight: 0.2,
        services: vec![writer(vec![9, 6, 3], 2500, 20_000), desk(vec![1, 1, 1])],
        customers: 60,
        concurrency: 64,
    }
}

/// Returns a deployment with the given numbers of regions, nodes, services and customers.
#[must_use]
pub fn large(regions: usize, nodes: usize, services: usize, customers: usize) -> DeploymentSpec {
    DeploymentSpec {
        name: "large",
        regions: (0..regions)
            .map(|index| {
                let count = nodes / regions + usize::from(index < nodes % regions);
                (format!("region-{index}"), count)
            })
            .collect(),
        delay_us: 80_000,
        latency_weight: 0.5,
        services: (0..services)
            .map(|index| ServiceSpec {
                name: format!("model-{index}"),
                kind: Kind::Engine,
                targets: (0..regions)
                    .map(|region| 1 + (region + index) % 3)
                    .collect(),
                slots: 8,
                expected_ms: 1500,
                deadline_ms: 10_000,
            })
            .collect(),
        customers,
        concurrency: 64,
    }
}

/// Returns a customer's name.
#[must_use]
pub fn customer_name(index: usize) -> String {
    format!("customer-{index}")
}

/// Returns a target's name.
#[must_use]
pub fn target_name(service: &str, region: &str, index: usize) -> String {
    format!("{service}-{region}-{index}")
}

/// Returns a VM's name.
#[must_use]
pub fn vm_name(region: &str, index: usize) -> String {
    format!("{region}-{index}")
}

fn address(number: usize) -> SocketAddr {
    let [_, a, b, c] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, a, b, c], 80))
}

/// Creates the configuration of a deployment, with revision 1.
///
/// Every third customer has a home region, and every ninth may be served only there.
#[must_use]
pub fn bundle(spec: &DeploymentSpec) -> Bundle {
    let mut number = 0;
    let mut next = || {
        number += 1;
        address(number)
    };
    let mut vms = BTreeMap::new();
    for (region, count) in &spec.regions {
        for index in 0..*count {
            let name = vm_name(region, index);
            let vm = Vm {
                region: RegionId::of(region),
                centre: CentreId::of(&format!("{region}-{}", index % 3)),
                caller: next(),
                peer: next(),
                weight: Vm::DEFAULT_WEIGHT,
                name: name.clone(),
            };
            vms.insert(VmId::of(&name), vm);
        }
    }
    let services = spec.services.iter().map(|service| {
        let mut targets = BTreeMap::new();
        for ((region, _), count) in spec.regions.iter().zip(&service.targets) {
            for index in 0..*count {
                let name = target_name(&service.name, region, index);
                let target = Target {
                    region: RegionId::of(region),
                    centre: CentreId::of(&format!("{region}-{}", index % 3)),
                    address: next(),
                    slots: service.slots,
                    fenced: index % 2 == 0,
                    version: String::new(),
                    name: name.clone(),
                };
                targets.insert(TargetId::of(&name), target);
            }
        }
        (
            ServiceId::of(&service.name),
            service_config(service, targets),
        )
    });
    let services: BTreeMap<ServiceId, Service> = services.collect();
    let mut bundle = Bundle {
        revision: 1,
        services,
        customers: customers(spec).into(),
        ..Bundle::new(deployment(spec, vms))
    };
    set_digest(&mut bundle);
    bundle
}

/// Sets a bundle's digest from its revision, customer count, last customer and latency weight.
pub fn set_digest(bundle: &mut Bundle) {
    let text = format!(
        "{} {} {:?} {}",
        bundle.revision,
        bundle.customers.len(),
        bundle.customers.values().next_back(),
        bundle.deployment.latency_weight
    );
    bundle.digest = Digest::of(text.as_bytes());
}

fn service_config(service: &ServiceSpec, targets: BTreeMap<TargetId, Target>) -> Service {
    let once = match service.kind {
        Kind::Plain => vec![Route {
            method: "POST".to_owned(),
            path: "/".to_owned(),
        }],
        Kind::Engine => Vec::new(),
    };
    Service {
        name: service.name.clone(),
        kind: service.kind,
        residency: None,
        once,
        deadline: service.deadline_ms,
        silence: 3000,
        expected: service.expected_ms,
        refuses: BTreeSet::new(),
        max_body: 1 << 20,
        models: BTreeMap::new(),
        targets,
        capacity: Capacity::default(),
        health: None,
    }
}

fn deployment(spec: &DeploymentSpec, vms: BTreeMap<VmId, Vm>) -> Deployment {
    let names: Vec<&String> = spec.regions.iter().map(|(name, _)| name).collect();
    let mut links = Vec::new();
    for (index, from) in names.iter().enumerate() {
        for to in &names[index + 1..] {
            links.push(Link {
                from: RegionId::of(from),
                to: RegionId::of(to),
                delay: spec.delay_us,
            });
        }
    }
    let regions = names.iter().map(|name| {
        let centres = (0..3).map(|index| format!("{name}-{index}"));
        let centres = centres
            .map(|name| (CentreId::of(&name), DataCentre { name }))
            .collect();
        let region = Region {
            name: (*name).clone(),
            centres,
        };
        (RegionId::of(name), region)
    });
    Deployment {
        name: spec.name.to_owned(),
        latency_weight: spec.latency_weight,
        regions: regions.collect(),
        links,
        vms,
        loads_per_minute: 60,
        repeat_window: 60,
    }
}

fn customers(spec: &DeploymentSpec) -> BTreeMap<CustomerId, Customer> {
    (0..spec.customers)
        .map(|index| {
            let name = customer_name(index);
            let region = RegionId::of(&spec.regions[index / 3 % spec.regions.len()].0);
            let has_home = index % 3 == 0;
            let home_only = index % 9 == 0;
            let customer = Customer {
                home: has_home.then_some(region),
                residency: home_only.then(|| BTreeSet::from([region])),
                priority: 1,
                weight: 1,
                concurrency: spec.concurrency,
                rate: 100_000,
                services: BTreeSet::new(),
                credentials: vec![Digest::of(name.as_bytes())],
                name: name.clone(),
            };
            (CustomerId::of(&name), customer)
        })
        .collect()
}
