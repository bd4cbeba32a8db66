//! Contents of the configuration files before names are resolved.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::reader::LocatedText;

/// Location of a definition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Path of the file.
    pub file: PathBuf,
    /// Line, from 1.
    pub line: usize,
}

/// A named object and its location.
#[derive(Clone, Debug)]
pub struct Definition<T> {
    /// Name.
    pub name: String,
    /// Location in the file.
    pub location: Location,
    /// Contents of the table.
    pub spec: T,
}

/// A reference to another object by name.
#[derive(Clone, Debug)]
pub struct Reference {
    /// Name of the object.
    pub name: String,
    /// Line of the reference, from 1.
    pub line: usize,
}

impl Reference {
    /// Creates a reference from a name in a file.
    #[must_use]
    pub fn new(file: &crate::reader::ConfigFile, located: LocatedText) -> Self {
        Self {
            line: file.line(located.start),
            name: located.text,
        }
    }
}

/// `[deployment]`.
#[derive(Clone, Debug)]
pub struct DeploymentSource {
    /// Weight of tail latency against the share of requests sent to other regions, 0 to 1.
    pub latency_weight: f64,
    /// Model loads per minute that the weight store can serve to all nodes.
    pub loads_per_minute: u32,
    /// Seconds that an idempotency key chosen by a caller is kept.
    pub repeat_window: u64,
}

/// `[region.NAME]`.
#[derive(Clone, Debug)]
pub struct RegionSource {
    /// Data centres.
    pub centres: Vec<String>,
}

/// `[[link]]`.
#[derive(Clone, Debug)]
pub struct LinkSource {
    /// Location in the file.
    pub location: Location,
    /// The two regions.
    pub between: Vec<Reference>,
    /// One-way delay in microseconds.
    pub delay: u64,
}

/// `[vm.NAME]`.
#[derive(Clone, Debug)]
pub struct VmSource {
    /// Region.
    pub region: Reference,
    /// Data centre.
    pub centre: Reference,
    /// Listen address for callers.
    pub caller: SocketAddr,
    /// Listen address for other nodes, TCP and UDP.
    pub peer: SocketAddr,
}

/// `[service.NAME.target.NAME]`.
#[derive(Clone, Debug)]
pub struct TargetSource {
    /// Region.
    pub region: Reference,
    /// Data centre.
    pub centre: Reference,
    /// Address.
    pub address: SocketAddr,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Whether it rejects orders with an outdated fencing token.
    pub fenced: bool,
}

/// `[service.NAME]`.
#[derive(Clone, Debug)]
pub struct ServiceSource {
    /// Type of its targets.
    pub kind: seam_protocol::Kind,
    /// Regions that its data may enter; all if `None`.
    pub residency: Option<Vec<Reference>>,
    /// Routes whose requests must not be retried.
    pub once: Vec<seam_protocol::Route>,
    /// Default deadline of a request in milliseconds.
    pub deadline: u64,
    /// Milliseconds without progress after which a connection counts as stalled.
    pub silence: u64,
    /// Initial estimate of the service time in milliseconds, used until it is measured.
    pub expected: u64,
    /// Status codes that its targets return only for requests that they did not run.
    pub refuses: Vec<u16>,
    /// Maximum size of a request body in bytes.
    pub max_body: u64,
    /// Models, with the wanted number of copies in each region.
    pub models: Vec<(String, u32)>,
    /// Back ends.
    pub targets: Vec<Definition<TargetSource>>,
}

/// `[customer.NAME]`.
#[derive(Clone, Debug)]
pub struct CustomerSource {
    /// Home region.
    pub home: Option<Reference>,
    /// Regions that its data may enter; all if `None`.
    pub residency: Option<Vec<Reference>>,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// Weight among customers of the same priority.
    pub weight: u32,
    /// Maximum concurrent requests over all nodes.
    pub concurrency: u32,
    /// Maximum requests per second over all nodes.
    pub rate: u32,
    /// Services that it may call; all if empty.
    pub services: Vec<Reference>,
    /// Digests of its bearer tokens.
    pub credentials: Vec<seam_protocol::Digest>,
}

/// Contents of all configuration files of a deployment.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// Deployments. Exactly one is valid.
    pub deployments: Vec<Definition<DeploymentSource>>,
    /// Regions.
    pub regions: Vec<Definition<RegionSource>>,
    /// Links.
    pub links: Vec<LinkSource>,
    /// VMs that run gateway nodes.
    pub vms: Vec<Definition<VmSource>>,
    /// Services.
    pub services: Vec<Definition<ServiceSource>>,
    /// Customers.
    pub customers: Vec<Definition<CustomerSource>>,
}
