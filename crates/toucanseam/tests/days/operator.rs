//! The operator, and the text of its configurations.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// First parts of the paths of routes.
pub const PARTS: [&str; 6] = ["book", "view", "desk", "till", "page", "list"];
pub const SERVICES: [&str; 2] = ["desk", "counter"];
pub const REGIONS: [&str; 2] = ["north", "south"];
/// Routes of the first version.
const FIRST_ROUTES: usize = 3;

/// What a version says of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteState {
    pub name: String,
    pub service: &'static str,
    /// The only region that may process its requests.
    pub home: Option<&'static str>,
}

/// The routes of a version by the first part of their paths.
#[derive(Clone, Debug, PartialEq)]
pub struct Contents {
    pub routes: BTreeMap<&'static str, RouteState>,
}

/// An operator who publishes random versions.
pub struct Operator {
    pub contents: Contents,
    version: u64,
    rng: Pcg64Mcg,
}

impl Operator {
    pub fn new(seed: u64) -> Self {
        let route = |part: &&'static str| {
            let state = RouteState {
                name: (*part).to_owned(),
                service: SERVICES[0],
                home: None,
            };
            (*part, state)
        };
        Self {
            contents: Contents {
                routes: PARTS[..FIRST_ROUTES].iter().map(route).collect(),
            },
            version: 1,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn pick<T: Copy>(&mut self, list: &[T]) -> T {
        list[self.rng.random_range(0..list.len())]
    }

    /// Changes a few routes for the next version.
    pub fn change(&mut self) {
        self.version += 1;
        for _ in 0..self.rng.random_range(1..=3) {
            self.change_route();
        }
    }

    fn change_route(&mut self) {
        let (part, other) = (self.pick(&PARTS), self.pick(&PARTS));
        let service = self.pick(&SERVICES);
        let home = self.pick(&[None, None, Some(REGIONS[0]), Some(REGIONS[1])]);
        let kind = self.rng.random_range(0..6);
        let version = self.version;
        let routes = &mut self.contents.routes;
        let many = routes.len() > 1;
        if !routes.contains_key(part) {
            let name = format!("{part}-{version}");
            let state = RouteState {
                name,
                service,
                home,
            };
            routes.insert(part, state);
        } else if kind == 0 && many {
            routes.remove(part);
        } else if kind == 1 {
            let name = routes.get(other).map(|state| state.name.clone());
            let own = routes.get(part).map(|state| state.name.clone());
            for (part, name) in [(part, name), (other, own)] {
                if let Some((state, name)) = routes.get_mut(part).zip(name) {
                    state.name = name;
                }
            }
        } else if let Some(state) = routes.get_mut(part) {
            match kind {
                2 => state.home = home,
                3 => state.name = format!("{part}-{version}"),
                _ => state.service = service,
            }
        }
    }

    /// Writes a whole number in one of the forms that JSON has for it.
    fn number(&mut self, number: u64) -> String {
        match self.rng.random_range(0..3) {
            0 => format!("{number}.0"),
            1 if number.is_multiple_of(1000) => format!("{}e3", number / 1000),
            _ => number.to_string(),
        }
    }

    /// Writes an object, its keys in any order and perhaps with one that nobody knows.
    fn object(&mut self, mut fields: Vec<(&str, String)>) -> String {
        if self.rng.random_bool(0.5) {
            fields.push(("unknownField", "{\"deep\": [1, null]}".to_owned()));
        }
        fields.shuffle(&mut self.rng);
        let fields: Vec<String> = fields
            .into_iter()
            .map(|(name, value)| format!("\"{name}\": {value}"))
            .collect();
        format!("{{{}}}", fields.join(", "))
    }

    fn route(&mut self, part: &str, state: &RouteState) -> String {
        let text = |text: &str| format!("{text:?}");
        let mut fields = vec![
            ("name", text(&state.name)),
            ("host", text("salon.example")),
            ("pathPrefix", format!("\"/{part}/\"")),
            ("routeType", text("non_idempotent")),
            ("service", text(state.service)),
            ("timeoutMs", self.number(5000)),
        ];
        if let Some(home) = state.home {
            fields.push(("homeRegions", format!("[{home:?}]")));
        }
        let optional = [
            ("targetLatencyMs", self.number(400)),
            ("priority", self.number(1)),
            ("maxAttempts", self.number(1)),
        ];
        for field in optional {
            if self.rng.random_bool(0.6) {
                fields.push(field);
            }
        }
        self.object(fields)
    }

    /// Returns the text of the current version.
    pub fn text(&mut self) -> String {
        let mut routes = Vec::new();
        for (part, state) in self.contents.routes.clone() {
            routes.push(self.route(part, &state));
        }
        routes.shuffle(&mut self.rng);
        let mut services = Vec::new();
        for service in SERVICES {
            let fields = vec![
                ("name", format!("{service:?}")),
                ("maxConnections", self.number(110)),
            ];
            services.push(self.object(fields));
        }
        let mut fields = vec![
            ("version", self.number(self.version)),
            ("routes", format!("[{}]", routes.join(", "))),
            ("services", format!("[{}]", services.join(", "))),
        ];
        if self.rng.random_bool(0.7) {
            let limits = vec![("maxHeaderBytes", self.number(16_384))];
            fields.push(("limits", self.object(limits)));
        }
        self.object(fields)
    }
}
