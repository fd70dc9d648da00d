//! A request that crashes each engine that begins to run it.
//!
//! Its client sends it again and again, with the same path, key and body. Other streams are
//! served beside it.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Context, Finding,
    engine::{self, Deadly, Engines},
    http,
    site::{self, Site},
    store::Store,
};

/// `contactMs` of the deployment.
const CONTACT: Duration = Duration::from_secs(3);

/// The retries that may still reach engines later than that after the third crash.
const ALLOWED_RETRIES: usize = 3;

/// The prompt of the deadly request, which is in its path and its body.
const PROMPT: &str = "7d17";

/// How long an engine is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// The requests of a day.
pub struct Load {
    /// The address of the gateway, and the beginning of those of the engines.
    pub gateway: &'static str,
    pub engines: &'static str,
    pub engine_count: usize,
    /// The time between two streams beside the deadly one.
    pub interval: Duration,
    /// The parts of their prompts, and their tokens.
    pub parts: usize,
    pub tokens: (u32, u32),
    /// The events that an engine makes of the deadly request before it crashes.
    pub events: u64,
}

/// Few streams with short prompts; the deadly request crashes engines after its first event.
pub const SHORT: Load = Load {
    gateway: "127.0.80.1",
    engines: "127.0.81",
    engine_count: 6,
    interval: Duration::from_millis(300),
    parts: 1,
    tokens: (3_000, 80),
    events: 1,
};

/// Many streams whose prompts have many parts, as those of long sessions; the deadly request
/// crashes engines when they make its first token.
pub const SESSIONS: Load = Load {
    gateway: "127.0.100.1",
    engines: "127.0.101",
    engine_count: 3,
    interval: Duration::from_millis(25),
    parts: 31,
    tokens: (6_000, 12),
    events: 0,
};

/// The time between two attempts of the client of the deadly request, and their number.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(1_500);
const ATTEMPTS: usize = 18;

pub fn run(context: &Context, load: &'static Load) -> io::Result<Finding> {
    let record = &context.record;
    let (store, store_address) = Store::start()?;
    let engines = if context.has_trouble {
        let deadly = Deadly {
            text: PROMPT,
            events: load.events,
            down: DOWN_TIME,
        };
        Engines::with_deadly(deadly, &store, record)
    } else {
        Engines::new(None, record)
    };
    let mut addresses = Vec::new();
    for number in 1..=load.engine_count {
        let (name, ip) = (format!("i-{number}"), format!("{}.{number}", load.engines));
        let address = engines.start(&name, &ip)?;
        store.put("servers", &name, engine::entry(address, engine::BORN_MS, 1));
        addresses.push(address);
    }
    store.put("config", "main", site::config(7));
    let site = Site::start(&context.folder, load.gateway, store_address, &addresses)?;
    let callers = site.callers;

    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let others = {
        let (is_over, served) = (Arc::clone(&is_over), Arc::clone(&served));
        thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return number;
                }
                let served = Arc::clone(&served);
                thread::spawn(move || {
                    let request = {
                        let id = format!("a{number:015x}");
                        site::stream_request_of(&id, &id, load.parts, load.tokens)
                    };
                    let answer = http::exchange(callers, &request, Duration::from_secs(20));
                    served.fetch_add(
                        usize::from(answer.is_complete && answer.status == 200),
                        Ordering::Relaxed,
                    );
                });
                thread::sleep(load.interval);
            }
            0
        })
    };
    thread::sleep(Duration::from_secs(2));
    let mut attempts = Vec::new();
    for attempt in 0..ATTEMPTS {
        let id = format!("{attempt:016x}");
        let sent_at = Instant::now();
        let request = site::stream_request_with(&id, PROMPT, (3_000, 200));
        let answer = http::exchange(callers, &request, Duration::from_secs(20));
        let text = String::from_utf8_lossy(&answer.body);
        let text = if answer.status == 200 { "" } else { &*text };
        record.add(format!(
            "the client sent {id} and got {} {text}, complete: {}",
            answer.status, answer.is_complete
        ));
        attempts.push((id, sent_at));
        thread::sleep(ATTEMPT_INTERVAL.saturating_sub(sent_at.elapsed()));
    }
    is_over.store(true, Ordering::Relaxed);
    let sent = others.join().unwrap_or(0);
    thread::sleep(Duration::from_secs(2));
    record.add(format!(
        "of the other streams, {} of {sent} were served",
        served.load(Ordering::Relaxed)
    ));

    let sightings = engines.sightings();
    let crashes: Vec<_> = sightings.iter().filter(|one| one.is_crash).collect();
    record.add(format!("the request has crashed {} engines", crashes.len()));
    let Some(third) = crashes.get(2) else {
        return Ok(Finding::Held);
    };
    let late = third.at + CONTACT;
    let reached = |id: &String| {
        let mut sightings = sightings.iter();
        sightings.any(|one| !one.is_crash && one.run == *id && one.at > late)
    };
    let retries = attempts.iter().filter(|(id, _)| reached(id)).count();
    record.add(format!(
        "{retries} retries reached engines later than {} s after the third crash; {ALLOWED_RETRIES} are allowed",
        CONTACT.as_secs()
    ));
    Ok(if retries > ALLOWED_RETRIES {
        Finding::Broken
    } else {
        Finding::Held
    })
}
