//! Differences between two configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use seam_protocol::Bundle;
use serde::Serialize;

/// How an object differs between two configurations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only in the new configuration.
    Added,
    /// Only in the old configuration.
    Removed,
    /// In both, with different values.
    Changed,
}

/// One object that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// How it differs.
    #[serde(rename = "step")]
    pub change: ChangeKind,
    /// `deployment`, `service` or `customer`.
    pub kind: &'static str,
    /// Name of the object.
    pub name: String,
    /// Changed fields; empty if the object was added or removed.
    pub fields: Vec<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.change {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Changed => '~',
        };
        write!(f, "{sign} {} {:?}", self.kind, self.name)?;
        if !self.fields.is_empty() {
            write!(f, ": {}", self.fields.join(", "))?;
        }
        Ok(())
    }
}

/// Returns the differences from one bundle to another, without revisions and digests.
#[must_use]
pub fn diff(old: Option<&Bundle>, new: &Bundle) -> Vec<Difference> {
    let mut found = Vec::new();
    let deployment = |bundle: &Bundle| BTreeMap::from([(0, bundle.deployment.clone())]);
    compare(
        "deployment",
        old.map(deployment),
        &deployment(new),
        |deployment| deployment.name.clone(),
        &mut found,
    );
    let services = old.map(|old| old.services.clone());
    compare(
        "service",
        services,
        &new.services,
        |service| service.name.clone(),
        &mut found,
    );
    let customers = old.map(|old| (*old.customers).clone());
    compare(
        "customer",
        customers,
        &new.customers,
        |customer| customer.name.clone(),
        &mut found,
    );
    found
}

fn compare<K: Ord + Copy, V: PartialEq + Serialize>(
    kind: &'static str,
    old: Option<BTreeMap<K, V>>,
    new: &BTreeMap<K, V>,
    name: impl Fn(&V) -> String,
    found: &mut Vec<Difference>,
) {
    let old = old.unwrap_or_default();
    let keys: BTreeSet<K> = old.keys().chain(new.keys()).copied().collect();
    for key in keys {
        let (change, value, fields) = match (old.get(&key), new.get(&key)) {
            (Some(before), Some(after)) if before != after => {
                (ChangeKind::Changed, after, changed(before, after))
            }
            (None, Some(after)) => (ChangeKind::Added, after, Vec::new()),
            (Some(before), None) => (ChangeKind::Removed, before, Vec::new()),
            _ => continue,
        };
        found.push(Difference {
            change,
            kind,
            name: name(value),
            fields,
        });
    }
}

fn changed<V: Serialize>(before: &V, after: &V) -> Vec<String> {
    let table = |value: &V| match serde_json::to_value(value) {
        Ok(serde_json::Value::Object(table)) => table,
        _ => serde_json::Map::new(),
    };
    let (before, after) = (table(before), table(after));
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    names
        .into_iter()
        .filter(|name| before.get(*name) != after.get(*name))
        .map(|name| long_name(name).to_owned())
        .collect()
}

/// Expands the short field names that customer parts use to save space.
fn long_name(field: &str) -> &str {
    match field {
        "h" => "home",
        "r" => "residency",
        "p" => "priority",
        "w" => "weight",
        "c" => "concurrency",
        "q" => "rate",
        "s" => "services",
        "k" => "credentials",
        other => other,
    }
}
