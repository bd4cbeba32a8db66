//! Resolves names and checks a deployment as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use seam_protocol::bundle::{Capacity, Deployment, Link};
use seam_protocol::{
    Bundle, CentreId, Customer, CustomerId, DataCentre, Digest, Region, RegionId, Service,
    ServiceId, Target, TargetId, Vm, VmId,
};

use crate::error::{Fault, Faults, Wrong, nearest};
use crate::source::{
    CustomerSource, Defined, Place, Reference, ServiceSource, Sources, TargetSource,
};

/// Collects faults while names are resolved.
struct Checker<'a> {
    faults: &'a mut Faults,
    regions: BTreeMap<&'a str, &'a [String]>,
    services: BTreeSet<&'a str>,
}

/// Makes a bundle of what the files say. Faults are appended.
pub fn resolve(sources: &Sources, faults: &mut Faults) -> Option<Bundle> {
    let mut checker = Checker {
        regions: sources
            .regions
            .iter()
            .map(|region| (region.name.as_str(), region.says.centres.as_slice()))
            .collect(),
        services: sources
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect(),
        faults,
    };
    checker.unique("region", &sources.regions, |name| {
        u64::from(RegionId::of(name).0)
    });
    checker.unique("VM", &sources.vms, |name| u64::from(VmId::of(name).0));
    checker.unique("service", &sources.services, |name| {
        u64::from(ServiceId::of(name).tag().0)
    });
    checker.unique("customer", &sources.customers, |name| {
        CustomerId::of(name).0
    });
    checker.unique_targets(&sources.services);
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
    checker.credentials(&sources.customers);
    let bundle = Bundle {
        services,
        customers,
        ..Bundle::new(deployment)
    };
    checker.residency(&bundle, sources);
    Some(bundle)
}

impl Checker<'_> {
    fn fault(&mut self, place: &Place, line: usize, wrong: Wrong) {
        self.faults.0.push(Fault {
            file: place.file.clone(),
            line,
            wrong,
        });
    }

    fn unique<T>(&mut self, kind: &'static str, list: &[Defined<T>], key: impl Fn(&str) -> u64) {
        let mut names: BTreeMap<&str, &Place> = BTreeMap::new();
        let mut keys: BTreeMap<u64, &str> = BTreeMap::new();
        for item in list {
            if let Some(first) = names.insert(&item.name, &item.place) {
                let first = format!("{}:{}", first.file.display(), first.line);
                let name = item.name.clone();
                let wrong = Wrong::Twice { kind, name, first };
                self.fault(&item.place, item.place.line, wrong);
                continue;
            }
            if let Some(other) = keys.insert(key(&item.name), &item.name) {
                let wrong = Wrong::Key {
                    kind,
                    name: item.name.clone(),
                    other: other.to_owned(),
                };
                self.fault(&item.place, item.place.line, wrong);
            }
        }
    }

    fn unique_targets(&mut self, services: &[Defined<ServiceSource>]) {
        let targets: Vec<Defined<TargetSource>> = services
            .iter()
            .flat_map(|service| service.says.targets.iter().cloned())
            .collect();
        self.unique("target", &targets, |name| u64::from(TargetId::of(name).0));
    }

    fn unknown<'n>(
        &mut self,
        place: &Place,
        section: &str,
        kind: &'static str,
        reference: &Reference,
        known: impl IntoIterator<Item = &'n str>,
    ) {
        let wrong = Wrong::Name {
            section: section.to_owned(),
            kind,
            name: reference.name.clone(),
            nearest: nearest(&reference.name, known),
        };
        self.fault(place, reference.line, wrong);
    }

    fn region(&mut self, place: &Place, section: &str, reference: &Reference) -> Option<RegionId> {
        if self.regions.contains_key(reference.name.as_str()) {
            return Some(RegionId::of(&reference.name));
        }
        let known: Vec<String> = self.regions.keys().map(|name| (*name).to_owned()).collect();
        self.unknown(
            place,
            section,
            "region",
            reference,
            known.iter().map(String::as_str),
        );
        None
    }

    fn regions(
        &mut self,
        place: &Place,
        section: &str,
        references: Option<&Vec<Reference>>,
    ) -> Option<BTreeSet<RegionId>> {
        let references = references?;
        Some(
            references
                .iter()
                .filter_map(|reference| self.region(place, section, reference))
                .collect(),
        )
    }

    fn centre(
        &mut self,
        place: &Place,
        section: &str,
        region: &Reference,
        centre: &Reference,
    ) -> Option<(RegionId, CentreId)> {
        let id = self.region(place, section, region)?;
        let centres = self.regions[region.name.as_str()];
        if centres.contains(&centre.name) {
            return Some((id, CentreId::of(&centre.name)));
        }
        self.unknown(
            place,
            section,
            "data centre",
            centre,
            centres.iter().map(String::as_str),
        );
        None
    }

    fn deployment(&mut self, sources: &Sources) -> Option<Deployment> {
        for extra in sources.deployments.iter().skip(1) {
            let first = &sources.deployments[0].place;
            let wrong = Wrong::Twice {
                kind: "deployment",
                name: extra.name.clone(),
                first: format!("{}:{}", first.file.display(), first.line),
            };
            self.fault(&extra.place, extra.place.line, wrong);
        }
        let Some(first) = sources.deployments.first() else {
            let place = Place {
                file: Path::new("deployment.toml").to_owned(),
                line: 0,
            };
            let wrong = Wrong::Nothing {
                kind: "deployment",
                help: "add a file deployment.toml with a [deployment] table",
            };
            self.fault(&place, 0, wrong);
            return None;
        };
        let vms = sources
            .vms
            .iter()
            .filter_map(|vm| {
                let section = format!("VM {:?}", vm.name);
                let says = &vm.says;
                let (region, centre) =
                    self.centre(&vm.place, &section, &says.region, &says.centre)?;
                let rule = Vm {
                    name: vm.name.clone(),
                    region,
                    centre,
                    caller: says.caller,
                    peer: says.peer,
                    weight: Vm::DEFAULT_WEIGHT,
                };
                Some((VmId::of(&vm.name), rule))
            })
            .collect();
        let links = sources
            .links
            .iter()
            .filter_map(|link| {
                let from = self.region(&link.place, "a link", &link.between[0]);
                let to = self.region(&link.place, "a link", &link.between[1]);
                Some(Link {
                    from: from?,
                    to: to?,
                    delay: link.delay,
                })
            })
            .collect();
        Some(Deployment {
            name: first.name.clone(),
            weight: first.says.weight,
            loads: first.says.loads,
            repeat_window: first.says.window,
            regions: regions_of(sources),
            links,
            vms,
        })
    }

    fn service(&mut self, service: &Defined<ServiceSource>) -> Service {
        let says = &service.says;
        let section = format!("service {:?}", service.name);
        let targets = says
            .targets
            .iter()
            .filter_map(|target| {
                let section = format!("target {:?}", target.name);
                let source = &target.says;
                let (region, centre) =
                    self.centre(&target.place, &section, &source.region, &source.centre)?;
                let rule = Target {
                    name: target.name.clone(),
                    region,
                    centre,
                    address: source.address,
                    slots: source.slots,
                    fenced: source.fenced,
                };
                Some((TargetId::of(&target.name), rule))
            })
            .collect();
        let reserved = matches!(service.name.as_str(), "v1" | "problems");
        if reserved {
            let wrong = Wrong::Value {
                field: "name".to_owned(),
                section: section.clone(),
                found: format!("{:?}", service.name),
                expected: "a name that is not used by the system's own paths".to_owned(),
            };
            self.fault(&service.place, service.place.line, wrong);
        }
        Service {
            name: service.name.clone(),
            kind: says.kind,
            residency: self.regions(&service.place, &section, says.residency.as_ref()),
            once: says.once.clone(),
            deadline: says.deadline,
            silence: says.silence,
            expected: says.expected,
            refuses: says.refuses.iter().copied().collect(),
            body: says.body,
            models: says.models.iter().cloned().collect(),
            targets,
            capacity: Capacity::default(),
        }
    }

    fn customer(&mut self, customer: &Defined<CustomerSource>) -> Option<Customer> {
        let says = &customer.says;
        let section = format!("customer {:?}", customer.name);
        let home = says
            .home
            .as_ref()
            .map(|home| self.region(&customer.place, &section, home));
        let mut services = BTreeSet::new();
        for reference in &says.services {
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
            self.unknown(&customer.place, &section, "service", reference, known);
        }
        Some(Customer {
            name: customer.name.clone(),
            home: match home {
                Some(home) => Some(home?),
                None => None,
            },
            residency: self.regions(&customer.place, &section, says.residency.as_ref()),
            priority: says.priority,
            weight: says.weight,
            concurrency: says.concurrency,
            rate: says.rate,
            services,
            credentials: says.credentials.clone(),
        })
    }

    /// Refuses a credential that two customers have, since it would name neither.
    fn credentials(&mut self, customers: &[Defined<CustomerSource>]) {
        let mut seen: BTreeMap<Digest, &Defined<CustomerSource>> = BTreeMap::new();
        for customer in customers {
            for digest in &customer.says.credentials {
                let Some(first) = seen.insert(*digest, customer) else {
                    continue;
                };
                let wrong = Wrong::Twice {
                    kind: "credential",
                    name: digest.to_string(),
                    first: format!("customer {:?}", first.name),
                };
                self.fault(&customer.place, customer.place.line, wrong);
            }
        }
    }

    /// Checks that every service, and every customer of it, can be served somewhere.
    fn residency(&mut self, bundle: &Bundle, sources: &Sources) {
        for service in &sources.services {
            let Some(rule) = bundle.services.get(&ServiceId::of(&service.name)) else {
                continue;
            };
            let served = rule.targets.values().any(|target| {
                let within = rule.residency.as_ref();
                within.is_none_or(|regions| regions.contains(&target.region))
            });
            if !served {
                let wrong = Wrong::Residency {
                    section: format!("service {:?}", service.name),
                    why: "no target stands in a region of its residency".to_owned(),
                };
                self.fault(&service.place, service.place.line, wrong);
            }
        }
        for customer in &sources.customers {
            if customer.says.residency.is_none() {
                continue;
            }
            let Some(rule) = bundle.customers.get(&CustomerId::of(&customer.name)) else {
                continue;
            };
            let callable = |id: &&ServiceId| rule.services.is_empty() || rule.services.contains(id);
            let blocked: Vec<&str> = bundle
                .services
                .keys()
                .filter(callable)
                .filter(|id| {
                    bundle
                        .allowed_regions(&bundle.services[id], rule)
                        .is_empty()
                })
                .map(|id| bundle.services[id].name.as_str())
                .collect();
            if !blocked.is_empty() {
                let wrong = Wrong::Residency {
                    section: format!("customer {:?}", customer.name),
                    why: format!(
                        "no target of {} stands in a region of both residencies",
                        blocked.join(", ")
                    ),
                };
                self.fault(&customer.place, customer.place.line, wrong);
            }
        }
    }
}

fn regions_of(sources: &Sources) -> BTreeMap<RegionId, Region> {
    sources
        .regions
        .iter()
        .map(|region| {
            let centres = region.says.centres.iter();
            let centres = centres
                .map(|name| (CentreId::of(name), DataCentre { name: name.clone() }))
                .collect();
            let rule = Region {
                name: region.name.clone(),
                centres,
            };
            (RegionId::of(&region.name), rule)
        })
        .collect()
}
