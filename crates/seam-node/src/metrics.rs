//! Metrics recorded with `opentelemetry` and exported in the Prometheus text format.

use opentelemetry::KeyValue;
use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use seam_core::command::Withheld;
use seam_core::config_version::ConfigChange;
use seam_core::status::Status;
use seam_core::store_call::StoreChange;
use seam_core::{NamedRegions, Refusal};
use seam_http::bounds::{denied, discarded, exceeded};
use seam_protocol::Reason;

use crate::allowances::AllowanceGauges;
use crate::stalls::StallKind;

/// Histogram bucket bounds of request times in seconds, around common latency objectives.
const REQUEST_TIME_BUCKETS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];
/// Histogram bucket bounds of delays of the event loop in seconds.
const LOOP_DELAY_BUCKETS: [f64; 8] = [0.005, 0.025, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0];

/// The process's metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    withheld: Counter<u64>,
    directory: Counter<u64>,
    not_taken: Counter<u64>,
    config_differs: Counter<u64>,
    config_refusals: Counter<u64>,
    misread: Counter<u64>,
    unconfirmed: Counter<u64>,
    platform: Counter<u64>,
    store: Counter<u64>,
    unread: Counter<u64>,
    heartbeats: Counter<u64>,
    heartbeat_bytes: Counter<u64>,
    request_time: Histogram<f64>,
    loop_delay: Histogram<f64>,
    stalls: Counter<u64>,
    gauges: Gauges,
}

#[derive(Debug)]
struct Gauges {
    ready: Gauge<u64>,
    revision: Gauge<u64>,
    held: Gauge<u64>,
    keys: Gauge<u64>,
    peers: Gauge<u64>,
    queued: Gauge<u64>,
    running: Gauge<u64>,
    load: Gauge<u64>,
    slowdown: Gauge<u64>,
    slowness: Gauge<u64>,
    kv_tokens: Gauge<u64>,
    serving: Gauge<u64>,
    limited: Gauge<u64>,
    cold: Gauge<u64>,
    quarantine: Gauge<u64>,
    suspects: Gauge<u64>,
    items: Gauge<u64>,
    items_digest: Gauge<u64>,
    items_differ: Gauge<u64>,
    platform: Gauge<u64>,
    config_age: Gauge<u64>,
    config_item: Gauge<u64>,
    config_meaning: Gauge<u64>,
    config_refused: Gauge<u64>,
    config_heard: Gauge<u64>,
    items_heard: Gauge<u64>,
    read_age: Gauge<u64>,
    current_age: Gauge<u64>,
    confirmed_age: Gauge<u64>,
    revocation_age: Gauge<u64>,
    store_revision: Gauge<u64>,
    items_epoch: Gauge<u64>,
    events: Gauge<u64>,
    ranks: Gauge<u64>,
    bounds: Gauge<u64>,
    denied: Gauge<u64>,
    unread: Gauge<u64>,
    allowances: AllowanceGauges,
}

impl Gauges {
    fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Self {
            ready: gauge("seam_ready", "1 if the node takes new requests"),
            revision: gauge("seam_revision", "revision in force"),
            held: gauge("seam_requests_held", "requests without a final answer"),
            keys: gauge("seam_keys_held", "idempotency keys held"),
            peers: gauge("seam_peers_alive", "nodes with a record within its lease"),
            queued: gauge("seam_queued", "requests that wait, by service"),
            running: gauge("seam_running", "requests at targets, by service"),
            load: gauge("seam_target_load", "estimated requests at a target"),
            slowdown: gauge("seam_target_slowdown", "percent of the usual time of work"),
            slowness: gauge("seam_target_slowness", "percent of the service's time"),
            kv_tokens: gauge("seam_target_kv_tokens", "tokens of running requests"),
            serving: gauge("seam_target_serving", "1 if a target takes new work"),
            limited: gauge("seam_target_limited", "1 if a target names a rate limit"),
            cold: gauge("seam_target_cold", "1 if a target counts as cold"),
            quarantine: gauge("seam_quarantine", "fingerprints in quarantine"),
            suspects: gauge(
                "seam_suspects",
                "fingerprints suspected of crashing targets, with those in quarantine",
            ),
            items: gauge(
                "seam_items_revision",
                "revision of items known, zero for none",
            ),
            items_digest: gauge(
                "seam_items_digest",
                "digest of the keys and revisions of the items that were not removed",
            ),
            items_differ: gauge(
                "seam_items_differ",
                "nodes that have other items at the same revision for some time",
            ),
            platform: gauge(
                "seam_platform_answers",
                "1 if the store of items answers this node",
            ),
            config_age: gauge(
                "seam_config_age_ms",
                "time since the configuration was taken",
            ),
            config_item: gauge("seam_config_item", "item revision of the configuration"),
            config_refused: gauge(
                "seam_config_refused_routes",
                "routes that are refused for a time, since they cannot be read",
            ),
            config_meaning: gauge(
                "seam_config_meaning",
                "digest of what the node made of the configuration",
            ),
            config_heard: gauge(
                "seam_config_heard",
                "latest version that another node had in force before this one",
            ),
            items_heard: gauge(
                "seam_items_heard",
                "newest revision of items that another node knows",
            ),
            read_age: gauge(
                "seam_platform_read_age_ms",
                "time since the last successful read of the store by this node",
            ),
            current_age: gauge(
                "seam_items_current_age_ms",
                "time since this node knew all that the store, or a node that reaches it, had",
            ),
            confirmed_age: gauge(
                "seam_config_confirmed_age_ms",
                "time since the store showed this node that its configuration is the present one",
            ),
            revocation_age: gauge(
                "seam_revocation_age_ms",
                "age of the youngest confirmation of the configuration, by the store or another node",
            ),
            store_revision: gauge(
                "seam_store_revision",
                "revision that the store stated last to this node",
            ),
            items_epoch: gauge(
                "seam_items_epoch",
                "confirmed contradictions between the store and what nodes knew",
            ),
            events: gauge("seam_events", "events since boot, by kind"),
            ranks: gauge("seam_ranks", "requests since boot, by rank of their routes"),
            bounds: gauge(
                "seam_bounds_exceeded",
                "times that a machine sent more than a bound, by bound",
            ),
            denied: gauge(
                "seam_denied",
                "requests that were refused for good, by status and reason",
            ),
            unread: gauge(
                "seam_unread_bodies",
                "request bodies that were not read before the response, by end",
            ),
            allowances: AllowanceGauges::new(meter),
        }
    }

    fn set(&self, status: &Status) {
        let alive = status.peers.iter().filter(|peer| peer.alive).count();
        self.ready.record(u64::from(status.ready), &[]);
        self.revision.record(status.revision, &[]);
        self.held.record(status.held as u64, &[]);
        self.keys.record(status.keys as u64, &[]);
        self.peers.record(alive as u64, &[]);
        self.items.record(status.items, &[]);
        self.items_digest
            .record(u64::from(status.items_digest), &[]);
        self.items_differ.record(status.items_differ as u64, &[]);
        self.platform.record(u64::from(status.platform), &[]);
        let config = &status.config;
        self.config_age.record(config.stamp.age_ms, &[]);
        self.config_item.record(config.stamp.item_revision, &[]);
        self.config_refused
            .record(config.refused_routes as u64, &[]);
        self.config_meaning.record(config.meaning, &[]);
        self.config_heard.record(config.heard, &[]);
        self.items_heard.record(config.heard_items, &[]);
        self.items_epoch.record(u64::from(config.epoch), &[]);
        let known = [
            (&self.read_age, config.read_age_ms),
            (&self.current_age, config.current_age_ms),
            (&self.confirmed_age, config.confirmed_age_ms),
            (&self.revocation_age, config.revocation_age_ms),
            (&self.store_revision, config.store_revision),
        ];
        for (gauge, figure) in known {
            if let Some(figure) = figure {
                gauge.record(figure, &[]);
            }
        }
        self.quarantine.record(status.quarantine.len() as u64, &[]);
        self.suspects.record(status.suspects as u64, &[]);
        for service in &status.services {
            let label = [KeyValue::new("service", service.name.clone())];
            self.queued.record(service.queued as u64, &label);
            self.running.record(u64::from(service.running), &label);
        }
        for target in &status.targets {
            let label = [KeyValue::new("target", target.name.clone())];
            self.load.record(u64::from(target.load), &label);
            self.slowdown.record(u64::from(target.slowdown), &label);
            self.slowness.record(u64::from(target.slowness), &label);
            self.kv_tokens.record(target.kv_tokens, &label);
            let serving = u64::from(target.phase == "serving");
            self.serving.record(serving, &label);
            let limited = u64::from(target.rate_limit.is_some());
            self.limited.record(limited, &label);
            self.cold.record(u64::from(target.cold), &label);
        }
        let counters = &status.counters;
        for (kind, count) in [
            ("arrived", counters.arrived),
            ("relayed", counters.relayed),
            ("sent_away", counters.sent_away),
            ("sent_owner", counters.sent_owner),
            ("complete", counters.complete),
            ("not_run", counters.not_run),
            ("unknown", counters.unknown),
            ("replayed", counters.replayed),
            ("retries", counters.retries),
            ("ejections", counters.ejections),
            ("crashes", counters.crashes),
            ("pauses", counters.pauses),
            ("unconfirmed", counters.unconfirmed),
        ] {
            self.events.record(count, &[KeyValue::new("kind", kind)]);
        }
        for (rank, kind) in (0_i64..).zip(&counters.kinds) {
            for (event, count) in [
                ("arrived", kind.arrived),
                ("held", kind.held),
                ("started", kind.started),
                ("no_room", kind.no_room),
            ] {
                let labels = [KeyValue::new("rank", rank), KeyValue::new("event", event)];
                self.ranks.record(count, &labels);
            }
        }
        self.allowances.set(&status.allowances);
        for (bound, count) in exceeded() {
            let label = [KeyValue::new("bound", bound.name())];
            self.bounds.record(count, &label);
        }
        for ((status, reason), count) in denied() {
            let labels = [
                KeyValue::new("status", i64::from(status)),
                KeyValue::new("reason", reason),
            ];
            self.denied.record(count, &labels);
        }
        for (end, count) in discarded() {
            let label = [KeyValue::new("end", end.name())];
            self.unread.record(count, &label);
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates all metrics at zero.
    ///
    /// # Panics
    /// If the registry rejects the exporter. A new registry accepts it.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a new registry accepts an exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("toucanseam");
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Self {
            refusals: counter("seam_refusals", "refusals by reason and outcome"),
            withheld: counter("seam_withheld", "attempts that were not sent, by reason"),
            directory: counter(
                "seam_directory_answers",
                "answers of the directory, by the regions of the named nodes",
            ),
            not_taken: counter(
                "seam_config_not_taken",
                "versions of the configuration that were read and not taken, by reason",
            ),
            config_differs: counter(
                "seam_config_differs",
                "versions of which another node made something else, once a node",
            ),
            config_refusals: counter(
                "seam_config_refusals",
                "refusals that the configuration decided, by reason",
            ),
            misread: counter(
                "seam_config_misread",
                "published places that a version taken does not have as published",
            ),
            unconfirmed: counter(
                "seam_unconfirmed_refusals",
                "refusals by a version that the store has not shown for 10 s, by reason",
            ),
            platform: counter("seam_platform_calls", "calls to the platform by kind"),
            store: counter(
                "seam_store_changes",
                "answers of the store that contradict what was known, and what followed",
            ),
            unread: counter(
                "seam_config_unread",
                "values of configurations that were not used as written",
            ),
            heartbeats: counter("seam_beats", "heartbeats by direction"),
            heartbeat_bytes: counter("seam_beat_bytes", "bytes of heartbeats by direction"),
            request_time: meter
                .f64_histogram("seam_request_seconds")
                .with_description("time from arrival to the end of the answer, by route and end")
                .with_boundaries(REQUEST_TIME_BUCKETS.to_vec())
                .build(),
            loop_delay: meter
                .f64_histogram("seam_loop_delay_seconds")
                .with_description("delay of a timer of the event loop, four times a second")
                .with_boundaries(LOOP_DELAY_BUCKETS.to_vec())
                .build(),
            stalls: counter(
                "seam_stalls",
                "delays of the event loop of 250 ms and more, by kind",
            ),
            gauges: Gauges::new(&meter),
            registry,
            _provider: provider,
        }
    }

    /// Counts a refusal.
    pub fn refused(&self, refusal: Refusal) {
        let labels = [
            KeyValue::new("reason", refusal.reason.slug()),
            KeyValue::new("outcome", refusal.outcome.to_string()),
        ];
        self.refusals.add(1, &labels);
    }

    /// Counts a refusal that the configuration decided.
    pub fn refused_by_config(&self, reason: Reason) {
        let label = [KeyValue::new("reason", reason.slug())];
        self.config_refusals.add(1, &label);
    }

    /// Counts a refusal by a version that the store has not shown for some time.
    pub fn refused_unconfirmed(&self, reason: Reason) {
        let label = [KeyValue::new("reason", reason.slug())];
        self.unconfirmed.add(1, &label);
    }

    /// Counts published places that a version does not have as published.
    pub fn misread_places(&self, count: usize) {
        self.misread.add(count as u64, &[]);
    }

    /// Counts an answer of the directory.
    pub fn directory_answered(&self, regions: NamedRegions) {
        let label = [KeyValue::new("regions", regions.name())];
        self.directory.add(1, &label);
    }

    /// Counts a version of the configuration that is not taken, or a node that made something else of one.
    pub fn config_changed(&self, change: &ConfigChange) {
        match change {
            ConfigChange::NotTaken { reason, .. } => {
                let label = [KeyValue::new("reason", reason.name())];
                self.not_taken.add(1, &label);
            }
            ConfigChange::Differs { .. } => self.config_differs.add(1, &[]),
            ConfigChange::Heard { .. } | ConfigChange::Taken { .. } => {}
        }
    }

    /// Counts an attempt that was not sent after all.
    pub fn withheld(&self, reason: Withheld) {
        let label = [KeyValue::new("reason", reason.name())];
        self.withheld.add(1, &label);
    }

    /// Records the end of a request and the time from its arrival.
    pub fn request_ended(&self, route: &str, end: &'static str, elapsed: Duration) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("end", end),
        ];
        self.request_time.record(elapsed.as_secs_f64(), &labels);
    }

    /// Records by how much a timer of the event loop was late.
    pub fn loop_delayed(&self, late: Duration) {
        self.loop_delay.record(late.as_secs_f64(), &[]);
    }

    /// Counts a stall of the event loop.
    pub fn stalled(&self, kind: StallKind) {
        self.stalls.add(1, &[KeyValue::new("kind", kind.name())]);
    }

    /// Counts a call to the platform.
    pub fn platform_call(&self, kind: &'static str, succeeded: bool) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("good", succeeded),
        ];
        self.platform.add(1, &labels);
    }

    /// Counts what the store's answers say about what this node knew.
    pub fn store_changed(&self, change: &StoreChange) {
        self.store.add(1, &[KeyValue::new("kind", change.name())]);
    }

    /// Counts values of a configuration that are not used as written.
    pub fn unread_values(&self, count: usize) {
        self.unread.add(count as u64, &[]);
    }

    /// Counts a sent heartbeat.
    pub fn heartbeat_sent(&self, bytes: usize) {
        self.count_heartbeat("sent", bytes);
    }

    /// Counts a received heartbeat.
    pub fn heartbeat_received(&self, bytes: usize) {
        self.count_heartbeat("received", bytes);
    }

    /// Counts a datagram that is not a valid heartbeat of this deployment.
    pub fn heartbeat_rejected(&self) {
        self.count_heartbeat("refused", 0);
    }

    fn count_heartbeat(&self, direction: &'static str, bytes: usize) {
        let label = [KeyValue::new("direction", direction)];
        self.heartbeats.add(1, &label);
        self.heartbeat_bytes.add(bytes as u64, &label);
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self, status: &Status) -> Vec<u8> {
        self.gauges.set(status);
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
