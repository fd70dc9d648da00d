//! A preempted run whose engine is at its limit of connections for a moment.
//!
//! The gateway takes the silence of a preempted run for a loss, orders the engine to stop the
//! run, and goes on at the engine that holds the standby copy. The order needs a new
//! connection, which the engine resets, because its queue is long for 0.3 s.

use std::{
    io::{self, BufReader, Write},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Context, Finding,
    engine::{self, Engines, Preemption},
    http,
    record::Record,
    site::{self, Site},
    store::Store,
};

/// How long an engine may still work on a run that has gone on at another one.
const ALLOWED: Duration = Duration::from_millis(400);

/// The silence after which the run counts as lost is three times the target pause, 540 ms.
const PREEMPTION: Preemption = Preemption {
    after_event: 20,
    pause: Duration::from_millis(1_200),
    full: Some((Duration::from_millis(400), Duration::from_millis(700))),
};

pub fn run(context: &Context) -> io::Result<Finding> {
    let record = &context.record;
    let mut preemption = PREEMPTION;
    if !context.has_trouble {
        preemption.full = None;
    }
    let engines = Engines::new(Some(preemption), record);
    let (store, store_address) = Store::start()?;
    let mut addresses = Vec::new();
    for number in 1..=3 {
        let (name, ip) = (format!("i-{number}"), format!("127.0.61.{number}"));
        let address = engines.start(&name, &ip)?;
        store.put("servers", &name, engine::entry(address, engine::BORN_MS, 1));
        addresses.push(address);
    }
    store.put("config", "main", site::config(7));
    let site = Site::start(&context.folder, "127.0.60.1", store_address, &addresses)?;
    let id = "9c41d07be2a35f68";
    probe_after_limit(&engines, record);
    send(&site, id, record)?;
    // The engine before may still work on the run.
    thread::sleep(Duration::from_secs(3));
    let spans = engines.spans(id);
    let mut longest = Duration::ZERO;
    for span in &spans {
        let from = spans
            .iter()
            .map(|one| one.began_at)
            .min()
            .unwrap_or(span.began_at);
        let at = |time: Instant| time.duration_since(from).as_secs_f64();
        let (began, last) = (at(span.began_at), at(span.last_at));
        record.add(format!(
            "{} worked on {id}: {} events, {began:.3} s to {last:.3} s after its first event",
            span.engine, span.events
        ));
        for later in spans.iter().filter(|later| later.began_at > span.began_at) {
            longest = longest.max(span.last_at.saturating_duration_since(later.began_at));
        }
    }
    record.add(format!(
        "the engine before still worked on the run {} ms after it had gone on; {} ms are allowed",
        longest.as_millis(),
        ALLOWED.as_millis()
    ));
    if spans.len() < 2 {
        return Err(io::Error::other("the run did not go on at another engine"));
    }
    Ok(if longest > ALLOWED {
        Finding::Broken
    } else {
        Finding::Held
    })
}

/// Sends the stream and reads it to its end.
fn send(site: &Site, id: &str, record: &Record) -> io::Result<()> {
    let mut stream = http::connect(site.callers, Duration::from_secs(20))?;
    record.add(format!("the client sends {id}"));
    stream.write_all(site::stream_request(id, (3_000, 232)).as_bytes())?;
    let mut events = 0;
    let answer = http::read_answer(&mut BufReader::new(stream), |data| {
        events += String::from_utf8_lossy(data).matches("\n\n").count();
    });
    record.add(format!(
        "the client got {} with {events} events, complete: {}",
        answer.status, answer.is_complete
    ));
    Ok(())
}

/// Records in the background that the engine takes new connections again once the limit is
/// over, while the run is still preempted there.
fn probe_after_limit(engines: &Engines, record: &Record) {
    let (engines, record) = (engines.clone(), record.clone());
    thread::spawn(move || {
        let (address, at) = loop {
            match engines.preempted() {
                Some(found) => break found,
                None => thread::sleep(Duration::from_millis(5)),
            }
        };
        let until = PREEMPTION.full.map_or(Duration::ZERO, |(_, until)| until);
        thread::sleep((until + Duration::from_millis(50)).saturating_sub(at.elapsed()));
        let request = "GET /v1/report HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let status = http::exchange(address, request, Duration::from_secs(1)).status;
        record.add(format!(
            "the engine at {address} answers on a new connection with {status}"
        ));
    });
}
