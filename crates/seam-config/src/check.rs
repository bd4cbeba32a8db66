//! Resolves names and validates a deployment across all of its files.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use seam_protocol::bundle::{Capacity, Deployment, Link};
use seam_protocol::{
    Bundle, CentreId, Customer, CustomerId, DataCentre, Digest, Region, RegionId, Service,
    ServiceId, Target, TargetId, Vm, VmId,
};

use crate::error::{Diagnostic, DiagnosticKind, Diagnostics, nearest};
use crate::source::{
    CustomerSource, Definition, Location, Reference, ServiceSource, Sources, TargetSource,
};

/// Resolves names and collects diagnostics.
struct Checker<'a> {
    diagnostics: &'a mut Diagnostics,
    regions: BTreeMap<&'a str, &'a [String]>,
    services: BTreeSet<&'a str>,
}

/// Builds a bundle from the parsed files and appends diagnostics.
///
/// Returns `None` if there is no deployment. With diagnostics, the bundle can be incomplete.
pub fn resolve(sources: &Sources, diagnostics: &mut Diagnostics) -> Option<Bundle> {
    let mut checker = Checker {
        regions: sources
            .regions
            .iter()
            .map(|region| (region.name.as_str(), region.spec.centres.as_slice()))
            .collect(),
        services: sources
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect(),
        diagnostics,
    };
    checker.check_unique("region", &sources.regions, |name| {
        u64::from(RegionId::of(name).0)
    });
    checker.check_unique("VM", &sources.vms, |name| u64::from(VmId::of(name).0));
    checker.check_unique("service", &sources.services, |name| {
        u64::from(ServiceId::of(name).tag().0)
    });
    checker.check_unique("customer", &sources.customers, |name| {
        CustomerId::of(name).0
    });
    checker.check_unique_targets(&sources.services);
    let deployment = checker.deployment(sources)?;
    let services: BTreeMap<ServiceId, Service> = sources
        .services
        .iter()
        .map(|service| (ServiceId::of(&service.name), checker.service(service)))
        .collect();
    let customers: BTreeMap<CustomerId, Customer> = sources
        .customers
        .iter()
        .filter_map(|customer| Some((CustomerId::of(&customer.name), checker.customer(customer)?)))
        .collect();
    checker.check_credentials(&sources.customers);
    let bundle = Bundle {
        services,
        customers: customers.into(),
        ..Bundle::new(deployment)
    };
    checker.check_residency(&bundle, sources);
    Some(bundle)
}

impl Checker<'_> {
    fn report(&mut self, location: &Location, line: usize, kind: DiagnosticKind) {
        self.diagnostics.0.push(Diagnostic {
            file: location.file.clone(),
            line,
            optional: false,
            kind,
        });
    }

    fn check_unique<T>(
        &mut self,
        kind: &'static str,
        list: &[Definition<T>],
        id_of: impl Fn(&str) -> u64,
    ) {
        let mut names: BTreeMap<&str, &Location> = BTreeMap::new();
        let mut ids: BTreeMap<u64, &str> = BTreeMap::new();
        for item in list {
            if let Some(first) = names.insert(&item.name, &item.location) {
                let first = format!("{}:{}", first.file.display(), first.line);
                let name = item.name.clone();
                let kind = DiagnosticKind::Duplicate { kind, name, first };
                self.report(&item.location, item.location.line, kind);
                continue;
            }
            if let Some(other) = ids.insert(id_of(&item.name), &item.name) {
                let kind = DiagnosticKind::IdCollision {
                    kind,
                    name: item.name.clone(),
                    other: other.to_owned(),
                };
                self.report(&item.location, item.location.line, kind);
            }
        }
    }

    fn check_unique_targets(&mut self, services: &[Definition<ServiceSource>]) {
        let targets: Vec<Definition<TargetSource>> = services
            .iter()
            .flat_map(|service| service.spec.targets.iter().cloned())
            .collect();
        self.check_unique("target", &targets, |name| u64::from(TargetId::of(name).0));
    }

    fn report_unknown<'n>(
        &mut self,
        location: &Location,
        section: &str,
        kind: &'static str,
        reference: &Reference,
        known: impl IntoIterator<Item = &'n str>,
    ) {
        let kind = DiagnosticKind::UnknownName {
            section: section.to_owned(),
            kind,
            name: reference.name.clone(),
            nearest: nearest(&reference.name, known),
        };
        self.report(location, reference.line, kind);
    }

    fn region(
        &mut self,
        location: &Location,
        section: &str,
        reference: &Reference,
    ) -> Option<RegionId> {
        if self.regions.contains_key(reference.name.as_str()) {
            return Some(RegionId::of(&reference.name));
        }
        let known: Vec<String> = self.regions.keys().map(|name| (*name).to_owned()).collect();
        self.report_unknown(
            location,
            section,
            "region",
            reference,
            known.iter().map(String::as_str),
        );
        None
    }

    fn regions(
        &mut self,
        location: &Location,
        section: &str,
        references: Option<&Vec<Reference>>,
    ) -> Option<BTreeSet<RegionId>> {
        let references = references?;
        Some(
            references
                .iter()
                .filter_map(|reference| self.region(location, section, reference))
                .collect(),
        )
    }

    fn centre(
        &mut self,
        location: &Location,
        section: &str,
        region: &Reference,
        centre: &Reference,
    ) -> Option<(RegionId, CentreId)> {
        let id = self.region(location, section, region)?;
        let centres = self.regions[region.name.as_str()];
        if centres.contains(&centre.name) {
            return Some((id, CentreId::of(&centre.name)));
        }
        self.report_unknown(
            location,
            section,
            "data centre",
            centre,
            centres.iter().map(String::as_str),
        );
        None
    }

    fn deployment(&mut self, sources: &Sources) -> Option<Deployment> {
        for extra in sources.deployments.iter().skip(1) {
            let first = &sources.deployments[0].location;
            let kind = DiagnosticKind::Duplicate {
                kind: "deployment",
                name: extra.name.clone(),
                first: format!("{}:{}", first.file.display(), first.line),
            };
            self.report(&extra.location, extra.location.line, kind);
        }
        let Some(first) = sources.deployments.first() else {
            let location = Location {
                file: Path::new("deployment.toml").to_owned(),
                line: 0,
            };
            let kind = DiagnosticKind::MissingSection {
                kind: "deployment",
                help: "add a file deployment.toml with a [deployment] table",
            };
            self.report(&location, 0, kind);
            return None;
        };
        let vms = sources
            .vms
            .iter()
            .filter_map(|vm| {
                let section = format!("VM {:?}", vm.name);
                let spec = &vm.spec;
                let (region, centre) =
                    self.centre(&vm.location, &section, &spec.region, &spec.centre)?;
                let resolved = Vm {
                    name: vm.name.clone(),
                    region,
                    centre,
                    caller: spec.caller,
                    peer: spec.peer,
                    weight: Vm::DEFAULT_WEIGHT,
                };
                Some((VmId::of(&vm.name), resolved))
            })
            .collect();
        let links = sources
            .links
            .iter()
            .filter_map(|link| {
                let from = self.region(&link.location, "a link", &link.between[0]);
                let to = self.region(&link.location, "a link", &link.between[1]);
                Some(Link {
                    from: from?,
                    to: to?,
                    delay: link.delay,
                })
            })
            .collect();
        Some(Deployment {
            name: first.name.clone(),
            latency_weight: first.spec.latency_weight,
            loads_per_minute: first.spec.loads_per_minute,
            repeat_window: first.spec.repeat_window,
            regions: resolve_regions(sources),
            links,
            vms,
        })
    }

    fn service(&mut self, service: &Definition<ServiceSource>) -> Service {
        let spec = &service.spec;
        let section = format!("service {:?}", service.name);
        let targets = spec
            .targets
            .iter()
            .filter_map(|target| {
                let section = format!("target {:?}", target.name);
                let source = &target.spec;
                let (region, centre) =
                    self.centre(&target.location, &section, &source.region, &source.centre)?;
                let resolved = Target {
                    name: target.name.clone(),
                    region,
                    centre,
                    address: source.address,
                    slots: source.slots,
                    fenced: source.fenced,
                    version: String::new(),
                };
                Some((TargetId::of(&target.name), resolved))
            })
            .collect();
        let reserved = matches!(service.name.as_str(), "v1" | "problems");
        if reserved {
            let kind = DiagnosticKind::InvalidValue {
                field: "name".to_owned(),
                section: section.clone(),
                found: format!("{:?}", service.name),
                expected: "a name other than `v1` and `problems`, which are paths of the gateway"
                    .to_owned(),
            };
            self.report(&service.location, service.location.line, kind);
        }
        Service {
            name: service.name.clone(),
            kind: spec.kind,
            residency: self.regions(&service.location, &section, spec.residency.as_ref()),
            once: spec.once.clone(),
            deadline: spec.deadline,
            silence: spec.silence,
            expected: spec.expected,
            refuses: spec.refuses.iter().copied().collect(),
            max_body: spec.max_body,
            models: spec.models.iter().cloned().collect(),
            targets,
            capacity: Capacity::default(),
            health: None,
        }
    }

    fn customer(&mut self, customer: &Definition<CustomerSource>) -> Option<Customer> {
        let spec = &customer.spec;
        let section = format!("customer {:?}", customer.name);
        let home = spec
            .home
            .as_ref()
            .map(|home| self.region(&customer.location, &section, home));
        let mut services = BTreeSet::new();
        for reference in &spec.services {
            if self.services.contains(reference.name.as_str()) {
                services.insert(ServiceId::of(&reference.name));
                continue;
            }
            let known: Vec<String> = self
                .services
                .iter()
                .map(|name| (*name).to_owned())
                .collect();
            let known = known.iter().map(String::as_str);
            self.report_unknown(&customer.location, &section, "service", reference, known);
        }
        Some(Customer {
            name: customer.name.clone(),
            home: match home {
                Some(home) => Some(home?),
                None => None,
            },
            residency: self.regions(&customer.location, &section, spec.residency.as_ref()),
            priority: spec.priority,
            weight: spec.weight,
            concurrency: spec.concurrency,
            rate: spec.rate,
            services,
            credentials: spec.credentials.clone(),
        })
    }

    /// Rejects a credential that two customers share, since it could not identify the caller.
    fn check_credentials(&mut self, customers: &[Definition<CustomerSource>]) {
        let mut seen: BTreeMap<Digest, &Definition<CustomerSource>> = BTreeMap::new();
        for customer in customers {
            for digest in &customer.spec.credentials {
                let Some(first) = seen.insert(*digest, customer) else {
                    continue;
                };
                let kind = DiagnosticKind::Duplicate {
                    kind: "credential",
                    name: digest.to_string(),
                    first: format!("customer {:?}", first.name),
                };
                self.report(&customer.location, customer.location.line, kind);
            }
        }
    }

    /// Checks that residency allows at least one target for each service, and for each service that
    /// a customer may call.
    fn check_residency(&mut self, bundle: &Bundle, sources: &Sources) {
        for service in &sources.services {
            let Some(resolved) = bundle.services.get(&ServiceId::of(&service.name)) else {
                continue;
            };
            let served = resolved.targets.values().any(|target| {
                let within = resolved.residency.as_ref();
                within.is_none_or(|regions| regions.contains(&target.region))
            });
            if !served {
                let kind = DiagnosticKind::UnservableResidency {
                    section: format!("service {:?}", service.name),
                    reason: "no target is in a region that its residency allows".to_owned(),
                };
                self.report(&service.location, service.location.line, kind);
            }
        }
        for customer in &sources.customers {
            if customer.spec.residency.is_none() {
                continue;
            }
            let Some(resolved) = bundle.customers.get(&CustomerId::of(&customer.name)) else {
                continue;
            };
            let callable =
                |id: &&ServiceId| resolved.services.is_empty() || resolved.services.contains(id);
            let blocked: Vec<&str> = bundle
                .services
                .keys()
                .filter(callable)
                .filter(|id| {
                    bundle
                        .allowed_regions(&bundle.services[id], resolved)
                        .is_empty()
                })
                .map(|id| bundle.services[id].name.as_str())
                .collect();
            if !blocked.is_empty() {
                let kind = DiagnosticKind::UnservableResidency {
                    section: format!("customer {:?}", customer.name),
                    reason: format!(
                        "no target of {} is in a region that both residencies allow",
                        blocked.join(", ")
                    ),
                };
                self.report(&customer.location, customer.location.line, kind);
            }
        }
    }
}

fn resolve_regions(sources: &Sources) -> BTreeMap<RegionId, Region> {
    sources
        .regions
        .iter()
        .map(|region| {
            let centres = region.spec.centres.iter();
            let centres = centres
                .map(|name| (CentreId::of(name), DataCentre { name: name.clone() }))
                .collect();
            let resolved = Region {
                name: region.name.clone(),
                centres,
            };
            (RegionId::of(&region.name), resolved)
        })
        .collect()
}
