//! Prometheus metrics of the entry and the agent.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, process_collector::ProcessCollector,
};

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.071, 0.1, 0.2, 0.5, 1.0, 1.4, 5.0, 20.0,
];

/// A registry of metrics that renders the Prometheus text format.
#[derive(Clone, Debug)]
pub struct Exporter {
    registry: Registry,
}

impl Default for Exporter {
    fn default() -> Exporter {
        Exporter::new()
    }
}

impl Exporter {
    /// Returns an exporter with the standard process metrics, such as CPU time and memory.
    pub fn new() -> Exporter {
        let registry = Registry::new();
        register(&registry, ProcessCollector::for_self());
        Exporter { registry }
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(cause) = TextEncoder::new().encode(&families, &mut text) {
            log::warn!("cannot render the metrics: {cause}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Spawns a task that exports the generation and the propagation delay of the configuration.
    ///
    /// # Panics
    ///
    /// Panics if these metrics are already registered.
    pub fn export_config(&self, mut view: crate::fleet::View) {
        let generation = self.gauge(
            "cactusroad_config_generation",
            "Number of the configuration in force here.",
        );
        let delay = self.gauge(
            "cactusroad_config_delay_ms",
            "Milliseconds from the acceptance of the configuration until it was in force here.",
        );
        tokio::spawn(async move {
            while view.propagation_delay_ms.changed().await.is_ok() {
                let number = view.config.borrow().generation.0;
                generation.set(i64::try_from(number).unwrap_or(i64::MAX));
                let millis = view.propagation_delay_ms.borrow_and_update().unwrap_or(0);
                delay.set(i64::try_from(millis).unwrap_or(i64::MAX));
            }
        });
    }

    fn counter(&self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(name, help).expect("metric names and labels are valid");
        register(&self.registry, counter.clone());
        counter
    }

    fn counter_vec(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let counter_vec = IntCounterVec::new(Opts::new(name, help), labels)
            .expect("metric names and labels are valid");
        register(&self.registry, counter_vec.clone());
        counter_vec
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(name, help).expect("metric names and labels are valid");
        register(&self.registry, gauge.clone());
        gauge
    }

    fn histogram(&self, name: &str, help: &str) -> Histogram {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let histogram = Histogram::with_opts(options).expect("metric names and labels are valid");
        register(&self.registry, histogram.clone());
        histogram
    }
}

fn register(registry: &Registry, collector: impl prometheus::core::Collector + 'static) {
    registry
        .register(Box::new(collector))
        .expect("each metric is registered only once");
}

/// Counters of the bytes of control messages: heartbeats and gossip.
///
/// The headers of QUIC and UDP are not counted.
#[derive(Clone, Debug)]
pub struct ControlBytes {
    /// Bytes sent.
    pub(crate) sent: IntCounter,
    /// Bytes received.
    pub(crate) received: IntCounter,
}

impl ControlBytes {
    fn new(exporter: &Exporter) -> ControlBytes {
        ControlBytes {
            sent: exporter.counter(
                "cactusroad_control_sent_bytes_total",
                "Bytes of heartbeats and shared state sent to other processes.",
            ),
            received: exporter.counter(
                "cactusroad_control_received_bytes_total",
                "Bytes of heartbeats and shared state received from other processes.",
            ),
        }
    }
}

/// The metrics of an agent.
#[derive(Clone, Debug)]
pub struct AgentMetrics {
    pub(crate) buffer_bytes: IntGauge,
    pub(crate) running: IntGauge,
    pub(crate) queued: IntGauge,
    pub(crate) tokens: IntCounter,
    pub(crate) cancelled: IntCounter,
    pub(crate) endpoint_deaths: IntCounter,
    /// Frames dropped because their generation or index does not match.
    pub(crate) mismatched_frames: IntCounter,
    pub(crate) queue_seconds: Histogram,
    pub(crate) refusals: IntCounterVec,
    pub(crate) control: ControlBytes,
}

impl AgentMetrics {
    /// Returns the counters of control bytes.
    pub fn control(&self) -> ControlBytes {
        self.control.clone()
    }

    /// Registers the metrics with `exporter`.
    ///
    /// # Panics
    ///
    /// Panics if they are already registered with `exporter`.
    pub fn new(exporter: &Exporter) -> AgentMetrics {
        AgentMetrics {
            buffer_bytes: exporter.gauge(
                "cactusroad_agent_buffer_bytes",
                "Bytes of frames kept for readers.",
            ),
            running: exporter.gauge(
                "cactusroad_agent_running",
                "Requests that the endpoint has been given and not ended.",
            ),
            queued: exporter.gauge("cactusroad_agent_queued", "Requests that wait for room."),
            tokens: exporter.counter(
                "cactusroad_agent_tokens_total",
                "Tokens received from the endpoint.",
            ),
            cancelled: exporter.counter(
                "cactusroad_agent_cancelled_total",
                "Generations cancelled at the endpoint.",
            ),
            endpoint_deaths: exporter.counter(
                "cactusroad_agent_endpoint_deaths_total",
                "Requests that broke off because the endpoint died.",
            ),
            mismatched_frames: exporter.counter(
                "cactusroad_agent_foreign_frames_total",
                "Frames of the endpoint that were dropped for their generation or index.",
            ),
            queue_seconds: exporter.histogram(
                "cactusroad_agent_queue_seconds",
                "Time that requests waited for room at the endpoint.",
            ),
            refusals: exporter.counter_vec(
                "cactusroad_agent_refusals_total",
                "Attempts that were refused or broke off, by kind and effect.",
                &["kind", "effect"],
            ),
            control: ControlBytes::new(exporter),
        }
    }
}

/// The metrics of an entry.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    pub(crate) requests: IntCounter,
    pub(crate) attempts: IntCounter,
    pub(crate) retries: IntCounter,
    /// Streams resumed by this entry over a new connection to the agent.
    pub(crate) reconnects: IntCounter,
    /// Streams resumed by a caller that reconnected.
    pub(crate) resumes: IntCounter,
    pub(crate) tokens: IntCounter,
    /// Frames dropped because their attempt or index does not match.
    pub(crate) mismatched_frames: IntCounter,
    pub(crate) refusals: IntCounterVec,
    pub(crate) open_streams: IntGauge,
    pub(crate) open_links: IntGauge,
    pub(crate) first_token_seconds: Histogram,
    pub(crate) between_tokens_seconds: Histogram,
    pub(crate) stall_seconds: prometheus::Counter,
    pub(crate) open_connections: IntGauge,
    /// Connections of callers rejected because the limit was reached.
    pub(crate) rejected_connections: IntCounter,
    pub(crate) control: ControlBytes,
}

impl EntryMetrics {
    /// Returns the counters of control bytes.
    pub fn control(&self) -> ControlBytes {
        self.control.clone()
    }

    /// Registers the metrics with `exporter`.
    ///
    /// # Panics
    ///
    /// Panics if they are already registered with `exporter`.
    pub fn new(exporter: &Exporter) -> EntryMetrics {
        let stall_seconds = prometheus::Counter::new(
            "cactusroad_entry_stall_seconds_total",
            "Time between tokens beyond a fifth of a second each.",
        )
        .expect("metric names and labels are valid");
        register(&exporter.registry, stall_seconds.clone());
        EntryMetrics {
            requests: exporter.counter(
                "cactusroad_entry_requests_total",
                "Requests received from callers.",
            ),
            attempts: exporter.counter(
                "cactusroad_entry_attempts_total",
                "Attempts opened at agents.",
            ),
            retries: exporter.counter(
                "cactusroad_entry_retries_total",
                "Attempts after the first one of a request.",
            ),
            reconnects: exporter.counter(
                "cactusroad_entry_relinks_total",
                "Streams taken up again over a new link.",
            ),
            resumes: exporter.counter(
                "cactusroad_entry_resumes_total",
                "Streams taken up again for a caller that came back.",
            ),
            tokens: exporter.counter(
                "cactusroad_entry_tokens_total",
                "Tokens passed on to callers.",
            ),
            mismatched_frames: exporter.counter(
                "cactusroad_entry_foreign_frames_total",
                "Frames that were dropped for their attempt or index.",
            ),
            refusals: exporter.counter_vec(
                "cactusroad_entry_refusals_total",
                "Refusals by kind and effect.",
                &["kind", "effect"],
            ),
            open_streams: exporter.gauge(
                "cactusroad_entry_open_streams",
                "Requests that callers wait for.",
            ),
            open_links: exporter.gauge(
                "cactusroad_entry_open_links",
                "Agents to which a link is open.",
            ),
            first_token_seconds: exporter.histogram(
                "cactusroad_entry_first_token_seconds",
                "Time from the arrival of a request to its first token.",
            ),
            between_tokens_seconds: exporter.histogram(
                "cactusroad_entry_between_tokens_seconds",
                "Time between two tokens of a stream.",
            ),
            stall_seconds,
            open_connections: exporter.gauge(
                "cactusroad_entry_open_connections",
                "Connections that callers have open.",
            ),
            rejected_connections: exporter.counter(
                "cactusroad_entry_turned_away_total",
                "Connections of callers beyond the bound.",
            ),
            control: ControlBytes::new(exporter),
        }
    }
}
