//! An engine stands still with its machine for some seconds. Its runs go on at other engines while
//! it still has them.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    Outcome,
    engine::{Copies, Engine, Pool, Span},
    record::Record,
    seconds,
    site::{self, Addresses, Clients, Folder, Gateway, HEARTBEAT, SMALL},
    store::Store,
    wait_until,
};

/// What the rule allows.
const ALLOWED: Duration = Duration::from_millis(400);
/// As many as the site has.
const ENGINES: usize = 14;
/// When an engine stands still, and for how long.
const FROZEN_AT: [f64; 5] = [8.0, 16.0, 24.0, 32.0, 40.0];
const FROZEN_FOR: f64 = 4.0;
const STREAMS: u32 = 270;
const STREAMS_PER_S: f64 = 6.0;

pub fn play(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let (addresses, folder) = (Addresses::new(), Folder::create());
    let store = Store::start(addresses.at(1, 8742));
    let zones = ["sahel-kairouan", "sahel-sousse", "sahel-sfax"];
    store.put("config", "main", &json!({
        "version": 10,
        "routes": [{"name": "drafts", "hostname": site::HOST, "pathPrefix": "/drafts/", "routeType": "streaming",
            "timeoutMs": 39_000, "targetLatencyMs": 1_800, "targetItlMs": 180, "priorityClass": 0,
            "service": "makers", "attempts": 1, "anonymous": false, "sessionAffinity": true}],
        "services": [{"name": "makers", "healthPath": "/healthz", "maxConnections": 232, "coldStartS": 1.0,
            "coldPerS": 36.0, "runtime": {"batchSlots": 24, "kvCapacityTokens": 34_282,
                "migrations": true, "backups": true}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-1", "apiKeys": ["key-1"]}],
    }));
    let pool = Pool {
        copies: Copies::default(),
        record: record.clone(),
        reading: Duration::from_millis(300),
        events: 150,
        interval: Duration::from_millis(40),
        loses: None,
        lost: Default::default(),
    };
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            let address = addresses.at(10 + number as u8, 8740);
            let (id, zone) = (format!("e-{number}"), zones[number % 3]);
            Engine::start(&id, zone, address, &pool, HEARTBEAT, &store)
        })
        .collect();
    let place = site::Place {
        addresses: &addresses,
        store: store.address,
        folder: &folder,
        bounds: &SMALL,
    };
    let sidecars: Vec<Gateway> = (0..ENGINES)
        .map(|number| {
            let (name, zone) = (format!("side-{number}"), zones[number % 3]);
            Gateway::start_sidecar(&name, zone, 10 + number as u8, &place)
        })
        .collect();
    let gateway = Gateway::start("edge-sahel-kairouan-1", zones[0], 2, &place);
    if !gateway.wait_ready(Duration::from_secs(10)) {
        return Err(format!("{} is not ready", gateway.name));
    }
    thread::sleep(seconds(1.5));
    let clients = Clients::new(record);
    let began_at = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| {
            for second in FROZEN_AT.into_iter().filter(|_| has_trouble) {
                let freezes_at = began_at + seconds(second);
                wait_until(freezes_at);
                // The one with the most runs.
                let pairs = engines.iter().zip(&sidecars);
                let Some((engine, sidecar)) = pairs.max_by_key(|(engine, _)| engine.open_runs())
                else {
                    return;
                };
                record.write(&format!("{} and its sidecar stand still", engine.id()));
                engine.freeze(seconds(FROZEN_FOR));
                sidecar.signal("-STOP");
                wait_until(freezes_at + seconds(FROZEN_FOR));
                sidecar.signal("-CONT");
                record.write(&format!("{} and its sidecar go on", engine.id()));
            }
        });
        let sends: Vec<_> = (0..STREAMS)
            .map(|number| {
                wait_until(began_at + seconds(f64::from(number) / STREAMS_PER_S));
                clients.send_stream(
                    &gateway,
                    "/drafts/new",
                    "key-1",
                    &format!("draft-{number:03}"),
                )
            })
            .collect();
        for send in sends {
            let _ = send.join();
        }
    });
    thread::sleep(seconds(1.0));
    let sent = clients.sent();
    let last = format!("{}\n\n", pool.events);
    let whole = sent
        .iter()
        .filter(|sent| sent.status == 200 && sent.body.ends_with(&last));
    let notes = vec![format!(
        "{} of {STREAMS} streams were answered whole",
        whole.count()
    )];
    let mut broken = Vec::new();
    for request in &sent {
        let spans: Vec<(&Engine, Span)> = engines
            .iter()
            .flat_map(|engine| engine.spans().into_iter().map(move |span| (engine, span)))
            .filter(|(_, span)| span.attempt == request.attempt)
            .collect();
        for (later, span) in spans.iter().filter(|(_, span)| span.is_resumed) {
            let Some(went_on_at) = span.first_at else {
                continue;
            };
            for (before, first) in spans.iter().filter(|(_, span)| !span.is_resumed) {
                let ended_at = first.ended_at.unwrap_or_else(Instant::now);
                let overlap = ended_at.saturating_duration_since(went_on_at);
                if first.first_at.is_some() && overlap > ALLOWED {
                    broken.push(format!(
                        "TWICE: {} went on at {}, and {} still had it {:.2} s later ({} events there, {} here)",
                        request.attempt, later.id(), before.id(), overlap.as_secs_f64(), first.events, span.events
                    ));
                }
            }
        }
    }
    Ok(Outcome { broken, notes })
}
