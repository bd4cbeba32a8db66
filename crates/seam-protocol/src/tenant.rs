//! Client accounts that are published beside the routes.
//!
//! A route is a [`Customer`](crate::Customer) of its own; a request has a route and, with an API key, a
//! tenant. The home regions of both apply.

use std::collections::{BTreeMap, BTreeSet};

use crate::digest::Digest;
use crate::id::{RegionId, TenantId};

crate::message! {
    /// A client account.
    pub struct Tenant {
        /// Name, which targets are told.
        pub name: String,
        /// Digests of its API keys.
        pub keys: Vec<Digest>,
        /// Priority of its requests instead of that of their routes; 0 is the most urgent.
        pub priority: Option<u8>,
        /// Limit on its requests over all nodes; `None` for no limit.
        pub allowance: Option<Allowance>,
        /// Regions that may process its requests; all if `None`, none if empty.
        pub home_regions: Option<BTreeSet<RegionId>>,
    }

    /// Limit on the requests of a tenant over all nodes, in the unit that [`Allowance::cost`] counts in.
    #[derive(Copy)]
    pub struct Allowance {
        /// Units per second.
        pub rate: f64,
        /// Units that may be used at once beyond the rate.
        pub burst: f64,
        /// What is counted.
        pub unit: CostUnit,
    }

    /// What an allowance counts.
    #[derive(Copy, Eq)]
    pub enum CostUnit {
        /// Requests.
        Requests,
        /// Tokens of the prompt and of the longest output.
        Tokens {
            /// Tokens that a request without a prompt counts as.
            plain: u32,
        },
    }

    /// How precisely the nodes of a deployment must apply what is published of tenants.
    #[derive(Copy, Default)]
    pub struct TenantBounds {
        /// Milliseconds after its removal for which an API key may still be accepted; `None` for no limit.
        pub revocation_limit: Option<u64>,
        /// Window in milliseconds within which allowances are judged; zero if they are not.
        pub window: u64,
        /// Fraction of an allowance that may be used beyond it within the window.
        pub overage: f64,
        /// Units that may be used beyond that within the window.
        pub slack: f64,
    }
}

impl Tenant {
    /// Returns a tenant without a name and keys, which stands for published ones that cannot be read.
    ///
    /// ```
    /// use seam_protocol::Tenant;
    /// let unread = Tenant::unread();
    /// assert!(unread.is_unread() && unread.keys.is_empty());
    /// ```
    #[must_use]
    pub fn unread() -> Self {
        Self {
            name: String::new(),
            keys: Vec::new(),
            priority: None,
            allowance: None,
            home_regions: Some(BTreeSet::new()),
        }
    }

    /// Returns whether it stands for published tenants that cannot be read ([`Self::unread`]).
    #[must_use]
    pub fn is_unread(&self) -> bool {
        self.name.is_empty()
    }

    /// Returns whether a region may process its requests.
    ///
    /// ```
    /// use seam_protocol::{RegionId, Tenant};
    /// assert!(!Tenant::unread().permits(RegionId::of("east")));
    /// ```
    #[must_use]
    pub fn permits(&self, region: RegionId) -> bool {
        let homes = self.home_regions.as_ref();
        homes.is_none_or(|homes| homes.contains(&region))
    }
}

impl Allowance {
    /// Returns the cost of a request, given the tokens of its prompt and of its longest output if it states
    /// them.
    ///
    /// ```
    /// use seam_protocol::tenant::{Allowance, CostUnit};
    /// let unit = CostUnit::Tokens { plain: 200 };
    /// let allowance = Allowance { rate: 29_000.0, burst: 29_000.0, unit };
    /// assert!((allowance.cost(Some(1540)) - 1540.0).abs() < 0.5);
    /// assert!((allowance.cost(None) - 200.0).abs() < 0.5);
    /// ```
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            CostUnit::Requests => 1.0,
            CostUnit::Tokens { plain } => tokens.unwrap_or(u64::from(plain)) as f64,
        }
    }
}

impl TenantBounds {
    /// Returns the most units that may run within any window, over all nodes.
    ///
    /// ```
    /// use seam_protocol::tenant::{Allowance, CostUnit, TenantBounds};
    /// let bounds = TenantBounds { window: 8000, overage: 0.25, slack: 110_000.0, ..TenantBounds::default() };
    /// let unit = CostUnit::Tokens { plain: 200 };
    /// let allowance = Allowance { rate: 29_000.0, burst: 29_000.0, unit };
    /// assert!((bounds.most(&allowance) - 436_250.0).abs() < 1.0);
    /// ```
    #[must_use]
    pub fn most(&self, allowance: &Allowance) -> f64 {
        const MILLIS: f64 = 1000.0;
        let nominal = allowance.rate * self.window as f64 / MILLIS + allowance.burst;
        nominal * (1.0 + self.overage) + self.slack
    }
}

/// Returns the tenants by the digests of their keys. Of two tenants with one key the first has it.
///
/// ```
/// use std::collections::BTreeMap;
/// use seam_protocol::tenant::{Tenant, keys};
/// use seam_protocol::{Digest, TenantId};
/// let key = Digest::of(b"jbvk9m68k7b2");
/// let tenant = Tenant {
///     name: "huka".into(), keys: vec![key], priority: None, allowance: None, home_regions: None,
/// };
/// let id = TenantId::of(&tenant.name);
/// assert_eq!(keys(&BTreeMap::from([(id, tenant)])).get(&key), Some(&id));
/// ```
#[must_use]
pub fn keys(tenants: &BTreeMap<TenantId, Tenant>) -> BTreeMap<Digest, TenantId> {
    let mut keys = BTreeMap::new();
    for (id, tenant) in tenants {
        for key in &tenant.keys {
            keys.entry(*key).or_insert(*id);
        }
    }
    keys
}
