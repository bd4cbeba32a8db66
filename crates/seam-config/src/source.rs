//! What the files say, before names are resolved.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::reader::LocatedText;

/// Where something was defined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file.
    pub file: PathBuf,
    /// Line, from 1.
    pub line: usize,
}

/// Something with a name and a location.
#[derive(Clone, Debug)]
pub struct Definition<T> {
    /// Name.
    pub name: String,
    /// Where it was defined.
    pub location: Location,
    /// What it says.
    pub spec: T,
}

/// A name that refers to something defined elsewhere.
#[derive(Clone, Debug)]
pub struct Reference {
    /// The name.
    pub name: String,
    /// Line, from 1.
    pub line: usize,
}

impl Reference {
    /// Makes a reference of a name read from a file.
    #[must_use]
    pub fn new(file: &crate::reader::ConfigFile, text: LocatedText) -> Self {
        Self {
            line: file.line(text.start),
            name: text.text,
        }
    }
}

/// `[deployment]`.
#[derive(Clone, Debug)]
pub struct DeploymentSource {
    /// Weight of tail latency.
    pub weight: f64,
    /// Loads a minute of the weight store.
    pub loads: u32,
    /// Repeat window in seconds.
    pub window: u64,
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
    /// Where it was defined.
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
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other nodes.
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
    /// Requests that it takes at once.
    pub slots: u32,
    /// Whether it checks fencing numbers.
    pub fenced: bool,
}

/// `[service.NAME]`.
#[derive(Clone, Debug)]
pub struct ServiceSource {
    /// Model engine or plain service.
    pub kind: seam_protocol::Kind,
    /// Regions that its data may enter.
    pub residency: Option<Vec<Reference>>,
    /// Routes that may not be repeated.
    pub once: Vec<seam_protocol::Route>,
    /// Deadline in milliseconds.
    pub deadline: u64,
    /// Silence limit in milliseconds.
    pub silence: u64,
    /// Expected service time in milliseconds.
    pub expected: u64,
    /// Status codes given before running.
    pub refuses: Vec<u16>,
    /// Largest body in bytes.
    pub body: u64,
    /// Models and copies.
    pub models: Vec<(String, u32)>,
    /// Back ends.
    pub targets: Vec<Definition<TargetSource>>,
}

/// `[customer.NAME]`.
#[derive(Clone, Debug)]
pub struct CustomerSource {
    /// Home region.
    pub home: Option<Reference>,
    /// Regions that its data may enter.
    pub residency: Option<Vec<Reference>>,
    /// Priority.
    pub priority: u8,
    /// Weight.
    pub weight: u32,
    /// Concurrency.
    pub concurrency: u32,
    /// Rate.
    pub rate: u32,
    /// Services that it may call.
    pub services: Vec<Reference>,
    /// Digests of its tokens.
    pub credentials: Vec<seam_protocol::Digest>,
}

/// Everything that the gathered files say.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// Deployments; exactly one is right.
    pub deployments: Vec<Definition<DeploymentSource>>,
    /// Regions.
    pub regions: Vec<Definition<RegionSource>>,
    /// Links.
    pub links: Vec<LinkSource>,
    /// Entry VMs.
    pub vms: Vec<Definition<VmSource>>,
    /// Services.
    pub services: Vec<Definition<ServiceSource>>,
    /// Customers.
    pub customers: Vec<Definition<CustomerSource>>,
}
