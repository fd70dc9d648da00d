//! Versions of the configuration take effect in time at every gateway that is in touch.
//!
//! Several gateways share one core with busy threads. The operator adds routes on new hosts,
//! and probes ask each gateway for the newest ones while the store, its connections and its
//! answers, relays and gateways are disturbed. A probe is judged by the rule that binds: a
//! version is in force [`APPLY`] after it was acknowledged, at gateways that have been
//! undisturbed for [`CONTACT`], as has the store.

use std::{
    fs::File,
    process::Stdio,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use cactusroad::platform::standin::store::Behaviour;
use http::StatusCode;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rustix::{
    process::Signal,
    thread::{CpuSet, sched_setaffinity},
};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{task::JoinSet, time::sleep};

use crate::site::{Site, config};

/// The time within which a version must be in force.
const APPLY: Duration = Duration::from_millis(2_000);

/// The time after a disturbance after which a gateway is in touch again.
const CONTACT: Duration = Duration::from_millis(3_000);

/// The gateways without a relay among them, and with one.
const GATEWAYS: [usize; 2] = [3, 6];

/// The threads that keep the gateways' core busy.
const BUSY_THREADS: usize = 2;

/// The routes that a large version adds.
const MANY_ROUTES: usize = 300;

/// The newest routes for which each gateway is asked.
const PROBED_ROUTES: usize = 3;

const PROBE_INTERVAL: Duration = Duration::from_millis(70);

/// Keeps the gateways' core busy until it is dropped.
struct Load(Arc<AtomicBool>);

impl Load {
    fn start() -> Load {
        let is_over = Arc::new(AtomicBool::new(false));
        for _ in 0..BUSY_THREADS {
            let is_over = Arc::clone(&is_over);
            std::thread::spawn(move || {
                // Without the affinity, the load is on another core.
                let _ = sched_setaffinity(None, &shared_core());
                while !is_over.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        Load(is_over)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn shared_core() -> CpuSet {
    let mut cores = CpuSet::new();
    cores.set(0);
    cores
}

/// A route that the operator added.
struct Added {
    host: String,
    acknowledged_at: Instant,
}

/// What is disturbed, from when until when.
struct Disturbance {
    /// The gateway, or all of them and the store.
    gateway: Option<usize>,
    name: &'static str,
    from: Instant,
    until: Instant,
}

/// A probe and its answer.
struct Probe {
    gateway: usize,
    route: usize,
    sent_at: Instant,
    status: Option<StatusCode>,
}

/// The operator's configurations.
#[derive(Default)]
struct Operator {
    version: u64,
    routes: Vec<Value>,
    added: Vec<Added>,
}

impl Operator {
    fn write(&mut self, site: &Site, count: usize) {
        self.version += 1;
        let mut whole = config(self.version);
        for _ in 0..count {
            let mut route = whole["routes"][1].clone();
            let host = format!("host-{}.example", self.routes.len());
            route["name"] = json!(host);
            route["hostname"] = json!(host);
            self.routes.push(route);
        }
        if let Some(routes) = whole["routes"].as_array_mut() {
            routes.extend(self.routes.iter().cloned());
        }
        site.store.put("config", "main", whole);
        self.added.push(Added {
            host: format!("host-{}.example", self.routes.len() - 1),
            acknowledged_at: Instant::now(),
        });
    }
}

/// Runs one seed. Returns what broke the rule.
pub(crate) async fn run(seed: u64, duration: Duration) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = GATEWAYS[usize::try_from(seed % 2).expect("it is small")];
    let mut site = Site::start(0, 2).await;
    site.apply_ms = u64::try_from(APPLY.as_millis()).ok();
    let logs = TempDir::new().expect("a folder can be made");
    for number in 0..count {
        let file = File::create(logs.path().join(number.to_string())).expect("a file can be made");
        site.start_logged_gateway(Stdio::from(file)).await;
        site.pin_gateway(number, &shared_core());
    }
    let _load = Load::start();
    sleep(if count > 3 {
        Duration::from_secs(6)
    } else {
        CONTACT
    })
    .await;
    let mut operator = Operator {
        version: 1,
        ..Operator::default()
    };
    let mut disturbances: Vec<Disturbance> = Vec::new();
    let mut probing: JoinSet<Probe> = JoinSet::new();
    let ends_at = Instant::now() + duration;
    let mut write_at = Instant::now();
    let mut disturb_at = Instant::now() + Duration::from_millis(random.random_range(200..2_500));
    let mut ongoing: Option<Ongoing> = None;
    while Instant::now() < ends_at {
        if Instant::now() >= write_at {
            let count = if random.random_range(0..8) == 0 {
                MANY_ROUTES
            } else {
                1
            };
            operator.write(&site, count);
            write_at = Instant::now() + Duration::from_millis(random.random_range(150..1_500));
        }
        if ongoing
            .as_ref()
            .is_some_and(|fault| Instant::now() >= fault.until)
        {
            let fault = ongoing.take().expect("it was checked");
            disturbances.push(fault.end(&mut site, &mut operator).await);
            // Most probes are sent between faults, past the time to be in touch again.
            disturb_at =
                Instant::now() + CONTACT + Duration::from_millis(random.random_range(0..2_500));
        }
        if ongoing.is_none() && Instant::now() >= disturb_at {
            ongoing = Some(Ongoing::start(&mut random, &site, count));
        }
        for gateway in 0..count {
            for route in operator.added.len().saturating_sub(PROBED_ROUTES)..operator.added.len() {
                let sender = site.sender_through(gateway);
                let host = operator.added[route].host.clone();
                let id = format!("p-{gateway}-{route}-{}", random.random::<u32>());
                probing.spawn(async move {
                    let sent_at = Instant::now();
                    let answer = sender.send_with("/orders/1", &id, &[("host", &host)]).await;
                    Probe {
                        gateway,
                        route,
                        sent_at,
                        status: answer.map(|answer| answer.status),
                    }
                });
            }
        }
        sleep(PROBE_INTERVAL).await;
    }
    if let Some(fault) = ongoing {
        disturbances.push(fault.end(&mut site, &mut operator).await);
    }
    let probes = probing.join_all().await;
    let broken = judge(seed, &probes, &operator, &disturbances);
    if !broken.is_empty() {
        let kept = logs.keep();
        println!(
            "soak: seed {seed}: the gateways' logs are in {}",
            kept.display()
        );
    }
    broken
}

/// A disturbance that has not ended.
struct Ongoing {
    name: &'static str,
    gateway: Option<usize>,
    from: Instant,
    until: Instant,
    copy: Option<cactusroad::platform::standin::store::Copy>,
}

impl Ongoing {
    fn start(random: &mut ChaCha8Rng, site: &Site, gateways: usize) -> Ongoing {
        let kinds = [
            "store_refusing",
            "store_closing",
            "store_silent",
            "answers_lost",
            "connections_silent",
            "history_dropped",
            "store_restored",
            "gateway_paused",
            "gateway_killed",
        ];
        let name = *kinds.choose(random).expect("there are kinds");
        let span = Duration::from_millis(random.random_range(50..1_500));
        let victim = random.random_range(0..gateways);
        let mut fault = Ongoing {
            name,
            gateway: None,
            from: Instant::now(),
            until: Instant::now() + span,
            copy: None,
        };
        match name {
            "store_refusing" => site.store.set_behaviour(Behaviour::Refusing),
            "store_closing" => site.store.set_behaviour(Behaviour::Closing),
            "store_silent" => site.store.set_behaviour(Behaviour::Silent),
            "answers_lost" => site.store.set_behaviour(Behaviour::Losing),
            "store_restored" => fault.copy = Some(site.store.copy()),
            "connections_silent" => {
                site.store.silence_connections();
                fault.until = fault.from;
            }
            "history_dropped" => {
                site.store.forget_watches();
                fault.until = fault.from;
            }
            "gateway_paused" => {
                site.signal_gateway(victim, Signal::STOP);
                fault.gateway = Some(victim);
            }
            _ => {
                site.kill_gateway(victim);
                fault.gateway = Some(victim);
            }
        }
        fault
    }

    /// Ends the disturbance.
    async fn end(self, site: &mut Site, operator: &mut Operator) -> Disturbance {
        match self.name {
            "gateway_paused" => {
                site.signal_gateway(self.gateway.unwrap_or(0), Signal::CONT);
            }
            "gateway_killed" => {
                let victim = self.gateway.unwrap_or(0);
                site.restart_gateway(victim).await;
                site.pin_gateway(victim, &shared_core());
            }
            "store_restored" => {
                site.store.set_behaviour(Behaviour::Closing);
                site.store.restore(self.copy.expect("it was made"));
                site.store.set_behaviour(Behaviour::Normal);
                operator.write(site, 1);
            }
            _ => site.store.set_behaviour(Behaviour::Normal),
        }
        Disturbance {
            gateway: self.gateway,
            name: self.name,
            from: self.from,
            until: Instant::now(),
        }
    }
}

/// Returns the probes that broke the rule.
fn judge(
    seed: u64,
    probes: &[Probe],
    operator: &Operator,
    disturbances: &[Disturbance],
) -> Vec<String> {
    let mut broken = Vec::new();
    let mut judged = 0;
    for probe in probes {
        let added = &operator.added[probe.route];
        let late = probe
            .sent_at
            .saturating_duration_since(added.acknowledged_at + APPLY);
        let binds =
            |fault: &&Disturbance| fault.gateway.is_none_or(|gateway| gateway == probe.gateway);
        let last = disturbances
            .iter()
            .filter(binds)
            .filter(|fault| fault.from <= probe.sent_at);
        let last = last.max_by_key(|fault| fault.until);
        let is_in_touch = last.is_none_or(|fault| probe.sent_at >= fault.until + CONTACT);
        if late.is_zero() || !is_in_touch {
            continue;
        }
        judged += 1;
        if probe.status == Some(StatusCode::NOT_FOUND) {
            let (name, ago) = last.map_or(("", Duration::ZERO), |fault| {
                (fault.name, probe.sent_at - fault.until)
            });
            broken.push(format!(
                "seed {seed}: gateway {} refused {} {late:?} after it had to be in force; {name} ended {ago:?} before",
                probe.gateway, added.host
            ));
        }
    }
    println!(
        "soak: seed {seed}: {judged} of {} probes judged, {} versions, {} disturbances, {} broken",
        probes.len(),
        operator.version,
        disturbances.len(),
        broken.len()
    );
    broken
}
