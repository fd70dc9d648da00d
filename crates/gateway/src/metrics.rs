//! The metrics of a gateway, in the text format of Prometheus.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder, core::Collector,
};

/// Upper bounds of the latency buckets, in seconds, around the target latencies of
/// routes.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.8, 5.0, 20.0,
];

/// All metrics of a gateway. docs/GATEWAY-METRICS.md lists them.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) attempts: IntCounterVec,
    pub(crate) engine_losses: IntCounterVec,
    pub(crate) resumes: IntCounter,
    pub(crate) migrations: IntCounterVec,
    pub(crate) run_stops: IntCounterVec,
    pub(crate) judgements: IntCounterVec,
    pub(crate) trials: IntCounter,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) relay_calls: IntCounterVec,
    pub(crate) duties: IntCounterVec,
    pub(crate) duty_token: IntGauge,
    pub(crate) first_answer: Histogram,
    pub(crate) pause: Histogram,
    pub(crate) config_version: IntGauge,
    pub(crate) endpoints: IntGauge,
    pub(crate) open_requests: IntGauge,
    pub(crate) waiting_requests: IntGauge,
    pub(crate) waits: HistogramVec,
    pub(crate) slow_engines: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, vec.expect("the name of a metric is valid"))
        };
        let gauge = |name: &str, help: &str| {
            register(
                &registry,
                IntGauge::new(name, help).expect("the name of a metric is valid"),
            )
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            register(
                &registry,
                Histogram::with_opts(options).expect("the name of a metric is valid"),
            )
        };
        let resumes = IntCounter::new(
            "cactusroad_resumes_total",
            "Runs that went on at another engine.",
        );
        let waits = HistogramOpts::new(
            "cactusroad_wait_seconds",
            "Time for which requests waited for capacity, by outcome.",
        );
        let waits = HistogramVec::new(waits.buckets(LATENCY_BUCKETS_S.to_vec()), &["outcome"]);
        let trials = IntCounter::new(
            "cactusroad_trials_total",
            "Requests sent to a silent endpoint as a trial.",
        );
        Metrics {
            requests: counter(
                "cactusroad_requests_total",
                "Requests by kind and outcome.",
                &["kind", "outcome"],
            ),
            attempts: counter(
                "cactusroad_attempts_total",
                "Attempts by outcome.",
                &["outcome"],
            ),
            engine_losses: counter(
                "cactusroad_engine_losses_total",
                "Runs that lost their engine.",
                &["loss"],
            ),
            resumes: register(&registry, resumes.expect("the name of a metric is valid")),
            migrations: counter(
                "cactusroad_moves_total",
                "Moves of runs by outcome.",
                &["outcome"],
            ),
            run_stops: counter(
                "cactusroad_run_stops_total",
                "Orders to engines to stop a run before it goes on elsewhere, by outcome.",
                &["outcome"],
            ),
            judgements: counter(
                "cactusroad_endpoint_judgements_total",
                "Changes in the judgement of endpoints of small plain services.",
                &["change"],
            ),
            trials: register(&registry, trials.expect("the name of a metric is valid")),
            store_calls: counter(
                "cactusroad_store_calls_total",
                "Calls to the store.",
                &["kind", "outcome"],
            ),
            relay_calls: counter(
                "cactusroad_relay_calls_total",
                "Calls to other gateways for changes of the store.",
                &["kind", "outcome"],
            ),
            duties: counter(
                "cactusroad_duties_total",
                "What happened to the duty to report usage.",
                &["outcome"],
            ),
            duty_token: gauge(
                "cactusroad_duty_token",
                "The fencing token while this gateway holds the duty, else 0.",
            ),
            first_answer: histogram(
                "cactusroad_first_answer_seconds",
                "Time to the answer or the first event.",
            ),
            pause: histogram(
                "cactusroad_pause_seconds",
                "Time between two events of a stream.",
            ),
            config_version: gauge("cactusroad_config_version", "The configuration in force."),
            endpoints: gauge("cactusroad_endpoints", "Endpoints that are listed."),
            open_requests: gauge("cactusroad_open_requests", "Requests without an answer."),
            waiting_requests: gauge(
                "cactusroad_waiting_requests",
                "Requests that wait for capacity.",
            ),
            waits: register(&registry, waits.expect("the name of a metric is valid")),
            slow_engines: gauge(
                "cactusroad_slow_engines",
                "Engines that are slow compared with others of their service.",
            ),
            registry,
        }
    }

    /// Renders all metrics in the text format.
    pub(crate) fn render(&self) -> String {
        let mut text = Vec::new();
        if let Err(cause) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("cannot render the metrics: {cause}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn register<C: Collector + Clone + 'static>(registry: &Registry, collector: C) -> C {
    let registered = registry.register(Box::new(collector.clone()));
    registered.expect("each metric is registered once");
    collector
}
