//! Every section and field of the configuration files, in one table.
//!
//! The reader refuses what is not here, and the reference page is made from it.

/// What a field holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Holds {
    /// A text.
    Text,
    /// A whole number in a range.
    Whole(i64, i64),
    /// A number in a range.
    Number(f64, f64),
    /// True or false.
    Flag,
    /// A list of texts.
    Texts,
    /// A list of whole numbers in a range.
    Wholes(i64, i64),
    /// An IP address with a port.
    Address,
    /// A table with names of the user's own.
    Named,
    /// A list of tables.
    Tables,
}

/// One field of a section.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// Name.
    pub name: &'static str,
    /// What it holds.
    pub holds: Holds,
    /// Value if absent, `None` if it must be there.
    pub default: Option<&'static str>,
    /// What it does, with the unit.
    pub doc: &'static str,
}

/// One kind of section.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Section {
    /// Header as the reference shows it.
    pub header: &'static str,
    /// What it describes.
    pub doc: &'static str,
    /// Its fields.
    pub fields: &'static [Field],
}

const fn must(name: &'static str, holds: Holds, doc: &'static str) -> Field {
    Field {
        name,
        holds,
        default: None,
        doc,
    }
}

const fn may(name: &'static str, holds: Holds, default: &'static str, doc: &'static str) -> Field {
    Field {
        name,
        holds,
        default: Some(default),
        doc,
    }
}

const DAY_MS: i64 = 86_400_000;
const SMALL: i64 = 1_000_000;

/// Top level of every gathered file.
pub const FILE: Section = Section {
    header: "top level of a gathered file",
    doc: "Any of these tables. Files are `deployment.toml`, `seam.toml` and `*.seam.toml`.",
    fields: &[
        may(
            "deployment",
            Holds::Named,
            "",
            "the deployment; in one file only",
        ),
        may("region", Holds::Named, "", "regions by name"),
        may("link", Holds::Tables, "[]", "links between regions"),
        may("vm", Holds::Named, "", "entry VMs by name"),
        may("service", Holds::Named, "", "services by name"),
        may("customer", Holds::Named, "", "customers by name"),
    ],
};

/// `[deployment]`.
pub const DEPLOYMENT: Section = Section {
    header: "[deployment]",
    doc: "What holds for the whole deployment.",
    fields: &[
        must("name", Holds::Text, "name of the deployment"),
        may(
            "latency_weight",
            Holds::Number(0.0, 1.0),
            "0.5",
            "1 sends a request to another region whenever that is sooner; 0 only when it would miss its deadline here",
        ),
        may(
            "loads_per_minute",
            Holds::Whole(1, 10_000),
            "6",
            "loads a minute that the weight store serves over the whole fleet",
        ),
        may(
            "repeat_window_s",
            Holds::Whole(0, 86_400),
            "600",
            "seconds for which a key made by a caller is remembered, and for which a new owner of keys answers `unknown`",
        ),
    ],
};

/// `[region.NAME]`.
pub const REGION: Section = Section {
    header: "[region.NAME]",
    doc: "A region.",
    fields: &[must("centres", Holds::Texts, "names of its data centres")],
};

/// `[[link]]`.
pub const LINK: Section = Section {
    header: "[[link]]",
    doc: "A link between two regions.",
    fields: &[
        must("between", Holds::Texts, "names of two regions"),
        must(
            "delay_ms",
            Holds::Number(0.0, 10_000.0),
            "one-way delay in milliseconds",
        ),
    ],
};

/// `[vm.NAME]`.
pub const VM: Section = Section {
    header: "[vm.NAME]",
    doc: "An entry VM of the system.",
    fields: &[
        must("region", Holds::Text, "its region"),
        must("centre", Holds::Text, "its data centre"),
        must("caller", Holds::Address, "address for callers"),
        must(
            "peer",
            Holds::Address,
            "address for other nodes, TCP and UDP",
        ),
    ],
};

/// `[service.NAME]`.
pub const SERVICE: Section = Section {
    header: "[service.NAME]",
    doc: "A service. Callers reach it below `/NAME/`.",
    fields: &[
        must("kind", Holds::Text, "`engine` or `plain`"),
        may(
            "residency",
            Holds::Texts,
            "every region",
            "regions that its data may enter",
        ),
        may(
            "once",
            Holds::Texts,
            "[]",
            "routes whose requests may not be repeated, such as `POST /deposits`; `*` is any method",
        ),
        may(
            "deadline_ms",
            Holds::Whole(1, DAY_MS),
            "10000",
            "deadline in milliseconds of a request that states none",
        ),
        may(
            "silence_ms",
            Holds::Whole(10, DAY_MS),
            "5000",
            "milliseconds without progress after which a connection counts as silent",
        ),
        may(
            "expected_ms",
            Holds::Whole(1, DAY_MS),
            "500",
            "expected service time in milliseconds until it is measured",
        ),
        may(
            "refuses",
            Holds::Wholes(400, 599),
            "[]",
            "status codes that its targets give only before running anything",
        ),
        may(
            "body_bytes",
            Holds::Whole(0, 1 << 30),
            "1048576",
            "largest request body in bytes",
        ),
        may(
            "models",
            Holds::Named,
            "",
            "models that its engines can load, with the copies wanted in each region",
        ),
        must("target", Holds::Named, "back ends by name"),
    ],
};

/// `[service.NAME.target.NAME]`.
pub const TARGET: Section = Section {
    header: "[service.NAME.target.NAME]",
    doc: "A back end of a service.",
    fields: &[
        must("region", Holds::Text, "its region"),
        must("centre", Holds::Text, "its data centre"),
        must("address", Holds::Address, "its address"),
        may(
            "slots",
            Holds::Whole(1, SMALL),
            "8",
            "requests that it takes at once",
        ),
        may(
            "fenced",
            Holds::Flag,
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
        may("home", Holds::Text, "none", "home region"),
        may(
            "residency",
            Holds::Texts,
            "every region",
            "regions that its data may enter",
        ),
        may(
            "priority",
            Holds::Whole(0, 3),
            "1",
            "each step doubles its share under load",
        ),
        may(
            "weight",
            Holds::Whole(1, 1000),
            "1",
            "its share among customers of one priority",
        ),
        may(
            "concurrency",
            Holds::Whole(1, SMALL),
            "64",
            "requests in flight over the whole fleet",
        ),
        may(
            "rate",
            Holds::Whole(1, SMALL),
            "1000",
            "requests a second over the whole fleet",
        ),
        may(
            "services",
            Holds::Texts,
            "every service",
            "services that it may call",
        ),
        must(
            "credentials",
            Holds::Texts,
            "digests of its bearer tokens, from `seamctl credential`",
        ),
    ],
};

/// Top level of a node's settings.
pub const NODE: Section = Section {
    header: "top level of a node's settings",
    doc: "Read by `toucanseam --settings FILE`. Relative paths start at the file's folder.",
    fields: &[
        must("name", Holds::Text, "name of this VM, as published"),
        must("region", Holds::Text, "its region"),
        must("centre", Holds::Text, "its data centre"),
        may(
            "workers",
            Holds::Whole(1, 64),
            "2",
            "worker threads; read at start only",
        ),
        may(
            "drain_limit_s",
            Holds::Whole(1, 3600),
            "60",
            "seconds after SIGTERM before requests in flight are cut off",
        ),
        may(
            "seeds",
            Holds::Texts,
            "[]",
            "addresses of other nodes, asked at start besides the configuration service",
        ),
        may(
            "connections",
            Holds::Whole(16, 1_000_000),
            "10000",
            "most connections from callers at once",
        ),
        may(
            "body_memory_mb",
            Holds::Whole(1, 1_000_000),
            "64",
            "megabytes that bodies of requests in flight may hold",
        ),
        may(
            "retries",
            Holds::Whole(1, SMALL),
            "no bound",
            "retries that all nodes together may send a service at once; with [items] only",
        ),
        must("listen", Holds::Named, "addresses"),
        may(
            "platform",
            Holds::Named,
            "",
            "the platform's services, where it publishes bundles",
        ),
        may(
            "items",
            Holds::Named,
            "",
            "the platform's store, where it publishes single items; instead of [platform]",
        ),
        may(
            "zones",
            Holds::Named,
            "",
            "the region of each data centre; with [items] only",
        ),
        may(
            "secrets",
            Holds::Named,
            "",
            "files that hold secrets; must be given with [platform]",
        ),
        may("log", Holds::Named, "", "logs"),
    ],
};

/// `[listen]`.
pub const LISTEN: Section = Section {
    header: "[listen]",
    doc: "Addresses of a node. Port 0 takes one from the system.",
    fields: &[
        must("caller", Holds::Address, "address for callers"),
        must(
            "peer",
            Holds::Address,
            "address for other nodes, TCP and UDP",
        ),
        must("admin", Holds::Address, "address of the administration API"),
    ],
};

/// `[platform]`.
pub const PLATFORM: Section = Section {
    header: "[platform]",
    doc: "The platform's services, read only.",
    fields: &[
        must("config", Holds::Address, "the configuration service"),
        must("vms", Holds::Address, "the list of VMs"),
        must("directory", Holds::Address, "the directory for clients"),
    ],
};

/// `[items]`.
pub const ITEMS: Section = Section {
    header: "[items]",
    doc: "A platform that publishes configuration and targets as single items, read only.",
    fields: &[
        must("store", Holds::Address, "the platform's store"),
        must(
            "readiness",
            Holds::Address,
            "own address that tells whether the node takes requests",
        ),
        may(
            "cold_factor",
            Holds::Number(0.0, 1000.0),
            "1",
            "times the stated rate that a cold target may be sent in a second",
        ),
        may(
            "cold_spare",
            Holds::Number(0.0, 1000.0),
            "0",
            "requests that a cold target may be sent in a second beyond that",
        ),
        may(
            "cores",
            Holds::Number(0.01, 1024.0),
            "1",
            "part of a core that the node has; the directory names nodes by what they can carry",
        ),
        may(
            "directory",
            Holds::Address,
            "none",
            "own address that tells callers which nodes to use",
        ),
        may(
            "link_mbps",
            Holds::Number(0.1, 1_000_000.0),
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
        must(
            "fleet",
            Holds::Text,
            "shared by the nodes of a deployment, 16 bytes or more",
        ),
        must(
            "operate",
            Holds::Text,
            "token of the administration API with the role `operate`",
        ),
        must(
            "read",
            Holds::Text,
            "token of the administration API with the role `read`",
        ),
    ],
};

/// `[log]`.
pub const LOG: Section = Section {
    header: "[log]",
    doc: "Logs, on standard output. Read again on SIGHUP.",
    fields: &[
        may("format", Holds::Text, "human", "`human` or `json`"),
        may(
            "level",
            Holds::Text,
            "info",
            "`error`, `warn`, `info`, `debug` or `trace`",
        ),
        may("modules", Holds::Named, "", "levels by module"),
    ],
};

/// Every section, in the order of the reference.
pub const SECTIONS: &[Section] = &[
    FILE, DEPLOYMENT, REGION, LINK, VM, SERVICE, TARGET, CUSTOMER, NODE, LISTEN, PLATFORM, ITEMS,
    SECRETS, LOG,
];
