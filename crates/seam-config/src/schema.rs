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
    header: "top level of a gathered file",
    doc: "Any of these tables. Files are `deployment.toml`, `seam.toml` and `*.seam.toml`.",
    fields: &[
        optional(
            "deployment",
            FieldType::Map,
            "",
            "the deployment; in one file only",
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
    doc: "What holds for the whole deployment.",
    fields: &[
        required("name", FieldType::String, "name of the deployment"),
        optional(
            "latency_weight",
            FieldType::Float(0.0, 1.0),
            "0.5",
            "1 sends a request to another region whenever that is sooner; 0 only when it would miss its deadline here",
        ),
        optional(
            "loads_per_minute",
            FieldType::Integer(1, 10_000),
            "6",
            "loads a minute that the weight store serves over the whole fleet",
        ),
        optional(
            "repeat_window_s",
            FieldType::Integer(0, 86_400),
            "600",
            "seconds for which a key made by a caller is remembered, and for which a new owner of keys answers `unknown`",
        ),
    ],
};

/// `[region.NAME]`.
pub const REGION: Section = Section {
    header: "[region.NAME]",
    doc: "A region.",
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
        required("between", FieldType::Strings, "names of two regions"),
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
    doc: "An entry VM of the system.",
    fields: &[
        required("region", FieldType::String, "its region"),
        required("centre", FieldType::String, "its data centre"),
        required("caller", FieldType::Address, "address for callers"),
        required(
            "peer",
            FieldType::Address,
            "address for other nodes, TCP and UDP",
        ),
    ],
};

/// `[service.NAME]`.
pub const SERVICE: Section = Section {
    header: "[service.NAME]",
    doc: "A service. Callers reach it below `/NAME/`.",
    fields: &[
        required("kind", FieldType::String, "`engine` or `plain`"),
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
            "routes whose requests may not be repeated, such as `POST /deposits`; `*` is any method",
        ),
        optional(
            "deadline_ms",
            FieldType::Integer(1, DAY_MS),
            "10000",
            "deadline in milliseconds of a request that states none",
        ),
        optional(
            "silence_ms",
            FieldType::Integer(10, DAY_MS),
            "5000",
            "milliseconds without progress after which a connection counts as silent",
        ),
        optional(
            "expected_ms",
            FieldType::Integer(1, DAY_MS),
            "500",
            "expected service time in milliseconds until it is measured",
        ),
        optional(
            "refuses",
            FieldType::Integers(400, 599),
            "[]",
            "status codes that its targets give only before running anything",
        ),
        optional(
            "body_bytes",
            FieldType::Integer(0, 1 << 30),
            "1048576",
            "largest request body in bytes",
        ),
        optional(
            "models",
            FieldType::Map,
            "",
            "models that its engines can load, with the copies wanted in each region",
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
            "requests that it takes at once",
        ),
        optional(
            "fenced",
            FieldType::Boolean,
            "false",
            "whether it refuses an order with an old fencing number",
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
            "each step doubles its share under load",
        ),
        optional(
            "weight",
            FieldType::Integer(1, 1000),
            "1",
            "its share among customers of one priority",
        ),
        optional(
            "concurrency",
            FieldType::Integer(1, MAX_COUNT),
            "64",
            "requests in flight over the whole fleet",
        ),
        optional(
            "rate",
            FieldType::Integer(1, MAX_COUNT),
            "1000",
            "requests a second over the whole fleet",
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
    doc: "Read by `toucanseam --settings FILE`. Relative paths start at the file's folder.",
    fields: &[
        required("name", FieldType::String, "name of this VM, as published"),
        required("region", FieldType::String, "its region"),
        required("centre", FieldType::String, "its data centre"),
        optional(
            "workers",
            FieldType::Integer(1, 64),
            "2",
            "worker threads; read at start only",
        ),
        optional(
            "drain_limit_s",
            FieldType::Integer(1, 3600),
            "60",
            "seconds after SIGTERM before requests in flight are cut off",
        ),
        optional(
            "seeds",
            FieldType::Strings,
            "[]",
            "addresses of other nodes, asked at start besides the configuration service",
        ),
        optional(
            "connections",
            FieldType::Integer(16, 1_000_000),
            "10000",
            "most connections from callers at once",
        ),
        optional(
            "body_memory_mb",
            FieldType::Integer(1, 1_000_000),
            "64",
            "megabytes that bodies of requests in flight may hold",
        ),
        optional(
            "retries",
            FieldType::Integer(1, MAX_COUNT),
            "no bound",
            "retries that all nodes together may send a service at once; with [items] only",
        ),
        required("listen", FieldType::Map, "addresses"),
        optional(
            "platform",
            FieldType::Map,
            "",
            "the platform's services, where it publishes bundles",
        ),
        optional(
            "items",
            FieldType::Map,
            "",
            "the platform's store, where it publishes single items; instead of [platform]",
        ),
        optional(
            "zones",
            FieldType::Map,
            "",
            "the region of each data centre; with [items] only",
        ),
        optional(
            "secrets",
            FieldType::Map,
            "",
            "files that hold secrets; must be given with [platform]",
        ),
        optional("log", FieldType::Map, "", "logs"),
    ],
};

/// `[listen]`.
pub const LISTEN: Section = Section {
    header: "[listen]",
    doc: "Addresses of a node. Port 0 takes one from the system.",
    fields: &[
        required("caller", FieldType::Address, "address for callers"),
        required(
            "peer",
            FieldType::Address,
            "address for other nodes, TCP and UDP",
        ),
        required(
            "admin",
            FieldType::Address,
            "address of the administration API",
        ),
    ],
};

/// `[platform]`.
pub const PLATFORM: Section = Section {
    header: "[platform]",
    doc: "The platform's services, read only.",
    fields: &[
        required("config", FieldType::Address, "the configuration service"),
        required("vms", FieldType::Address, "the list of VMs"),
        required("directory", FieldType::Address, "the directory for clients"),
    ],
};

/// `[items]`.
pub const ITEMS: Section = Section {
    header: "[items]",
    doc: "A platform that publishes configuration and targets as single items, read only.",
    fields: &[
        required("store", FieldType::Address, "the platform's store"),
        required(
            "readiness",
            FieldType::Address,
            "own address that tells whether the node takes requests",
        ),
        optional(
            "cold_factor",
            FieldType::Float(0.0, 1000.0),
            "1",
            "times the stated rate that a cold target may be sent in a second",
        ),
        optional(
            "cold_spare",
            FieldType::Float(0.0, 1000.0),
            "0",
            "requests that a cold target may be sent in a second beyond that",
        ),
        optional(
            "cores",
            FieldType::Float(0.01, 1024.0),
            "1",
            "part of a core that the node has; the directory names nodes by what they can carry",
        ),
        optional(
            "directory",
            FieldType::Address,
            "none",
            "own address that tells callers which nodes to use",
        ),
        optional(
            "link_mbps",
            FieldType::Float(0.1, 1_000_000.0),
            "1000",
            "megabits a second of the node's own link",
        ),
    ],
};

/// `[secrets]`.
pub const SECRETS: Section = Section {
    header: "[secrets]",
    doc: "Files that hold secrets, one line each. They are read again on SIGHUP.",
    fields: &[
        required(
            "fleet",
            FieldType::String,
            "shared by the nodes of a deployment, 16 bytes or more",
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
    doc: "Logs, on standard output. Read again on SIGHUP.",
    fields: &[
        optional("format", FieldType::String, "human", "`human` or `json`"),
        optional(
            "level",
            FieldType::String,
            "info",
            "`error`, `warn`, `info`, `debug` or `trace`",
        ),
        optional("modules", FieldType::Map, "", "levels by module"),
    ],
};

/// Every section, in the order of the reference page.
pub const SECTIONS: &[Section] = &[
    FILE, DEPLOYMENT, REGION, LINK, VM, SERVICE, TARGET, CUSTOMER, NODE, LISTEN, PLATFORM, ITEMS,
    SECRETS, LOG,
];
