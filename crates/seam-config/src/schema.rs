//! Defines every section and field of the configuration files.
//!
//! The reader rejects fields that are not listed here, and the reference page is generated from
//! this module.

/// Type of a field. Ranges include both bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldType {
    /// A string.
    String,
    /// An integer in a range.
    Integer(i64, i64),
    /// A number in a range.
    Float(f64, f64),
    /// A number in a range, rounded down to an integer.
    Rounded(i64, i64),
    /// A boolean.
    Boolean,
    /// A list of strings.
    Strings,
    /// A list of integers in a range.
    Integers(i64, i64),
    /// An IP address with a port.
    Address,
    /// A table, either a section or one whose keys the user chooses.
    Map,
    /// A list of tables.
    Tables,
}

/// One field of a section.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// Name.
    pub name: &'static str,
    /// Type.
    pub field_type: FieldType,
    /// Value if the field is absent; `None` if the field is required.
    pub default: Option<&'static str>,
    /// Meaning and unit, for the reference page.
    pub doc: &'static str,
}

/// One kind of section.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Section {
    /// TOML header, for the reference page and for diagnostics.
    pub header: &'static str,
    /// Meaning, for the reference page.
    pub doc: &'static str,
    /// Fields.
    pub fields: &'static [Field],
}

const fn required(name: &'static str, field_type: FieldType, doc: &'static str) -> Field {
    Field {
        name,
        field_type,
        default: None,
        doc,
    }
}

const fn optional(
    name: &'static str,
    field_type: FieldType,
    default: &'static str,
    doc: &'static str,
) -> Field {
    Field {
        name,
        field_type,
        default: Some(default),
        doc,
    }
}

const DAY_MS: i64 = 86_400_000;
const MAX_COUNT: i64 = 1_000_000;

/// Top level of a deployment's configuration file.
pub const FILE: Section = Section {
    header: "top level of a deployment's configuration file",
    doc: "A file may contain any of these tables. The files are `deployment.toml`, `seam.toml` and `*.seam.toml`.",
    fields: &[
        optional(
            "deployment",
            FieldType::Map,
            "",
            "the deployment; in exactly one file",
        ),
        optional("region", FieldType::Map, "", "regions by name"),
        optional("link", FieldType::Tables, "[]", "links between regions"),
        optional("vm", FieldType::Map, "", "entry VMs by name"),
        optional("service", FieldType::Map, "", "services by name"),
        optional("customer", FieldType::Map, "", "customers by name"),
    ],
};

/// `[deployment]`.
pub const DEPLOYMENT: Section = Section {
    header: "[deployment]",
    doc: "Settings of the whole deployment.",
    fields: &[
        required("name", FieldType::String, "name of the deployment"),
        optional(
            "latency_weight",
            FieldType::Float(0.0, 1.0),
            "0.5",
            "weight of latency in routing: 1 sends a request to another region whenever that is faster, 0 only if the request would miss its deadline in the local region",
        ),
        optional(
            "loads_per_minute",
            FieldType::Integer(1, 10_000),
            "6",
            "model loads per minute that the store of model weights can serve to all nodes",
        ),
        optional(
            "repeat_window_s",
            FieldType::Integer(0, 86_400),
            "600",
            "seconds for which an idempotency key chosen by a caller is kept, and for which a new owner of keys responds with `unknown`",
        ),
    ],
};

/// `[region.NAME]`.
pub const REGION: Section = Section {
    header: "[region.NAME]",
    doc: "A region and its data centres.",
    fields: &[required(
        "centres",
        FieldType::Strings,
        "names of its data centres",
    )],
};

/// `[[link]]`.
pub const LINK: Section = Section {
    header: "[[link]]",
    doc: "A link between two regions.",
    fields: &[
        required("between", FieldType::Strings, "names of the two regions"),
        required(
            "delay_ms",
            FieldType::Float(0.0, 10_000.0),
            "one-way delay in milliseconds",
        ),
    ],
};

/// `[vm.NAME]`.
pub const VM: Section = Section {
    header: "[vm.NAME]",
    doc: "An entry VM, which runs a gateway node.",
    fields: &[
        required("region", FieldType::String, "its region"),
        required("centre", FieldType::String, "its data centre"),
        required("caller", FieldType::Address, "listen address for callers"),
        required(
            "peer",
            FieldType::Address,
            "listen address for other nodes, TCP and UDP",
        ),
    ],
};

/// `[service.NAME]`.
pub const SERVICE: Section = Section {
    header: "[service.NAME]",
    doc: "A service. Callers reach it at paths below `/NAME/`.",
    fields: &[
        required(
            "kind",
            FieldType::String,
            "type of its targets, `engine` or `plain`",
        ),
        optional(
            "residency",
            FieldType::Strings,
            "every region",
            "regions that its data may enter",
        ),
        optional(
            "once",
            FieldType::Strings,
            "[]",
            "routes whose requests must not be retried, such as `POST /deposits`; `*` matches any method",
        ),
        optional(
            "deadline_ms",
            FieldType::Integer(1, DAY_MS),
            "10000",
            "deadline in milliseconds of a request that does not set one",
        ),
        optional(
            "silence_ms",
            FieldType::Integer(10, DAY_MS),
            "5000",
            "milliseconds without progress after which a connection counts as stalled",
        ),
        optional(
            "expected_ms",
            FieldType::Integer(1, DAY_MS),
            "500",
            "initial estimate of the service time in milliseconds, used until it is measured",
        ),
        optional(
            "refuses",
            FieldType::Integers(400, 599),
            "[]",
            "status codes that its targets return only for requests that they did not run",
        ),
        optional(
            "body_bytes",
            FieldType::Integer(0, 1 << 30),
            "1048576",
            "maximum size of a request body in bytes",
        ),
        optional(
            "models",
            FieldType::Map,
            "",
            "models that its engines can load, with the wanted number of copies in each region",
        ),
        required("target", FieldType::Map, "back ends by name"),
    ],
};

/// `[service.NAME.target.NAME]`.
pub const TARGET: Section = Section {
    header: "[service.NAME.target.NAME]",
    doc: "A back end of a service.",
    fields: &[
        required("region", FieldType::String, "its region"),
        required("centre", FieldType::String, "its data centre"),
        required("address", FieldType::Address, "its address"),
        optional(
            "slots",
            FieldType::Integer(1, MAX_COUNT),
            "8",
            "maximum concurrent requests",
        ),
        optional(
            "fenced",
            FieldType::Boolean,
            "false",
            "whether it rejects orders with an outdated fencing token",
        ),
    ],
};

/// `[customer.NAME]`.
pub const CUSTOMER: Section = Section {
    header: "[customer.NAME]",
    doc: "A customer and its limits.",
    fields: &[
        optional("home", FieldType::String, "none", "home region"),
        optional(
            "residency",
            FieldType::Strings,
            "every region",
            "regions that its data may enter",
        ),
        optional(
            "priority",
            FieldType::Integer(0, 3),
            "1",
            "priority; each step doubles its share under load",
        ),
        optional(
            "weight",
            FieldType::Integer(1, 1000),
            "1",
            "weight among customers of the same priority",
        ),
        optional(
            "concurrency",
            FieldType::Integer(1, MAX_COUNT),
            "64",
            "maximum concurrent requests over all nodes",
        ),
        optional(
            "rate",
            FieldType::Integer(1, MAX_COUNT),
            "1000",
            "maximum requests per second over all nodes",
        ),
        optional(
            "services",
            FieldType::Strings,
            "every service",
            "services that it may call",
        ),
        required(
            "credentials",
            FieldType::Strings,
            "digests of its bearer tokens, from `seamctl credential`",
        ),
    ],
};

/// Top level of a node's settings.
pub const NODE: Section = Section {
    header: "top level of a node's settings",
    doc: "Read by `toucanseam --settings FILE`. Relative paths are relative to the folder of the file. A node starts without an optional field that it cannot read and logs an error; a number out of its range counts as the nearest bound. `--check` and a reload refuse such a file.",
    fields: &[
        required("name", FieldType::String, "name of this VM, as published"),
        required("region", FieldType::String, "its region"),
        required("centre", FieldType::String, "its data centre"),
        optional(
            "workers",
            FieldType::Rounded(1, 64),
            "2",
            "number of worker threads; read only at start",
        ),
        optional(
            "drain_limit_s",
            FieldType::Float(0.0, 3600.0),
            "60",
            "seconds from SIGTERM to the end of the process; requests still in flight 0.6 s before get their final response then",
        ),
        optional(
            "seeds",
            FieldType::Strings,
            "[]",
            "addresses of other nodes to contact at start, in addition to the configuration service",
        ),
        optional(
            "connections",
            FieldType::Rounded(16, 1_000_000),
            "10000",
            "maximum concurrent connections from callers",
        ),
        optional(
            "body_memory_mb",
            FieldType::Rounded(1, 1_000_000),
            "64",
            "maximum memory in megabytes for the bodies of requests in flight",
        ),
        optional(
            "retries",
            FieldType::Rounded(0, MAX_COUNT),
            "no bound",
            "maximum burst of retries to a service over all nodes; only with [items]",
        ),
        required("listen", FieldType::Map, "listen addresses"),
        optional(
            "platform",
            FieldType::Map,
            "",
            "addresses of the platform's services, if it publishes bundles",
        ),
        optional(
            "items",
            FieldType::Map,
            "",
            "the platform's key-value store, if it publishes individual items; instead of [platform]",
        ),
        optional(
            "zones",
            FieldType::Map,
            "",
            "region of each data centre; only with [items]",
        ),
        optional(
            "secrets",
            FieldType::Map,
            "",
            "files that contain secrets; required with [platform]",
        ),
        optional("log", FieldType::Map, "", "logging"),
    ],
};

/// `[listen]`.
pub const LISTEN: Section = Section {
    header: "[listen]",
    doc: "Listen addresses of a node. For port 0 the operating system chooses a free port.",
    fields: &[
        required("caller", FieldType::Address, "listen address for callers"),
        required(
            "peer",
            FieldType::Address,
            "listen address for other nodes, TCP and UDP",
        ),
        required(
            "admin",
            FieldType::Address,
            "listen address of the administration API",
        ),
    ],
};

/// `[platform]`.
pub const PLATFORM: Section = Section {
    header: "[platform]",
    doc: "Services of the platform. The node only reads from them.",
    fields: &[
        required(
            "config",
            FieldType::Address,
            "address of the configuration service",
        ),
        required(
            "vms",
            FieldType::Address,
            "address of the service that lists VMs",
        ),
        required(
            "directory",
            FieldType::Address,
            "address of the directory service for clients",
        ),
    ],
};

/// `[items]`.
pub const ITEMS: Section = Section {
    header: "[items]",
    doc: "A platform that publishes configuration and targets as individual items. The node only reads from it.",
    fields: &[
        required(
            "store",
            FieldType::Address,
            "address of the platform's key-value store",
        ),
        required(
            "readiness",
            FieldType::Address,
            "listen address of the readiness check, which reports whether the node accepts requests",
        ),
        optional(
            "cold_factor",
            FieldType::Float(0.0, 1000.0),
            "1",
            "requests per second that a cold target may receive, as a multiple of its published rate",
        ),
        optional(
            "cold_spare",
            FieldType::Float(0.0, 1000.0),
            "0",
            "requests per second that a cold target may receive in addition",
        ),
        optional(
            "revocation_limit_ms",
            FieldType::Rounded(0, 86_400_000),
            "no limit",
            "time in milliseconds after the removal of an API key for which it may still be accepted",
        ),
        optional(
            "allowance_window_s",
            FieldType::Float(0.0, 3600.0),
            "0",
            "window in seconds within which the allowances of tenants are judged; 0 if they are not",
        ),
        optional(
            "allowance_overage",
            FieldType::Float(0.0, 1000.0),
            "0",
            "fraction of an allowance that may be used beyond it within the window",
        ),
        optional(
            "allowance_slack",
            FieldType::Float(0.0, 1e12),
            "0",
            "units that may be used beyond that within the window",
        ),
        optional(
            "cores",
            FieldType::Float(0.01, 1024.0),
            "1",
            "CPU cores available to the node, possibly a fraction; the directory weights nodes by their capacity",
        ),
        optional(
            "directory",
            FieldType::Address,
            "none",
            "listen address of the directory that lists the nodes for callers to use",
        ),
        optional(
            "link_mbps",
            FieldType::Float(0.1, 1_000_000.0),
            "1000",
            "bandwidth of the node's network link in megabits per second",
        ),
    ],
};

/// `[secrets]`.
pub const SECRETS: Section = Section {
    header: "[secrets]",
    doc: "Files that contain secrets, one line each. They are reloaded on SIGHUP.",
    fields: &[
        required(
            "fleet",
            FieldType::String,
            "secret shared by the nodes of a deployment, at least 16 bytes",
        ),
        required(
            "operate",
            FieldType::String,
            "token of the administration API with the role `operate`",
        ),
        required(
            "read",
            FieldType::String,
            "token of the administration API with the role `read`",
        ),
    ],
};

/// `[log]`.
pub const LOG: Section = Section {
    header: "[log]",
    doc: "Logs, which go to standard output. The section is reloaded on SIGHUP.",
    fields: &[
        optional(
            "format",
            FieldType::String,
            "human",
            "format of log lines, `human` or `json`",
        ),
        optional(
            "level",
            FieldType::String,
            "info",
            "default level: `error`, `warn`, `info`, `debug` or `trace`",
        ),
        optional("modules", FieldType::Map, "", "levels by module path"),
    ],
};

/// Every section, in the order of the reference page.
pub const SECTIONS: &[Section] = &[
    FILE, DEPLOYMENT, REGION, LINK, VM, SERVICE, TARGET, CUSTOMER, NODE, LISTEN, PLATFORM, ITEMS,
    SECRETS, LOG,
];
