//! A stream whose answer is lost while its prompt is being read goes on at a second engine while
//! the first one works on it to its end.

use std::{
    sync::Arc,
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
const STREAMS: u32 = 100;

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
        reading: Duration::from_millis(800),
        events: 40,
        interval: Duration::from_millis(60),
        loses: has_trouble.then(|| "lost-".to_owned()),
        lost: Arc::default(),
    };
    let engines: Vec<Engine> = (0..6)
        .map(|number| {
            let address = addresses.at(10 + number as u8, 8740);
            Engine::start(
                &format!("e-{number}"),
                zones[number % 3],
                address,
                &pool,
                HEARTBEAT,
                &store,
            )
        })
        .collect();
    let place = site::Place {
        addresses: &addresses,
        store: store.address,
        folder: &folder,
        bounds: &SMALL,
    };
    let _sidecars: Vec<Gateway> = (0..6)
        .map(|number| {
            Gateway::start_sidecar(
                &format!("side-{number}"),
                zones[number % 3],
                10 + number as u8,
                &place,
            )
        })
        .collect();
    let gateway = Gateway::start("edge-sahel-kairouan-1", zones[0], 2, &place);
    if !gateway.wait_ready(Duration::from_secs(10)) {
        return Err(format!("{} is not ready", gateway.name));
    }
    thread::sleep(seconds(1.5));
    let clients = Clients::new(record);
    let began_at = Instant::now();
    let sends: Vec<_> = (0..STREAMS)
        .map(|number| {
            wait_until(began_at + seconds(f64::from(number) * 0.25));
            // The answer of one stream in twenty is lost.
            let kind = if number % 20 == 10 { "lost" } else { "sound" };
            clients.send_stream(
                &gateway,
                "/drafts/new",
                "key-1",
                &format!("{kind}-{number:03}"),
            )
        })
        .collect();
    for send in sends {
        let _ = send.join();
    }
    thread::sleep(seconds(1.0));
    let sent = clients.sent();
    let whole = |kind: &str| {
        let own = sent.iter().filter(|sent| sent.attempt.starts_with(kind));
        let own: Vec<_> = own.collect();
        let is_whole = |sent: &&&site::Sent| sent.status == 200 && sent.body.ends_with("40\n\n");
        format!(
            "{} of {} {kind} streams were answered whole",
            own.iter().filter(is_whole).count(),
            own.len()
        )
    };
    let notes = vec![whole("sound"), whole("lost")];
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
                let overlap = first.last_at.saturating_duration_since(went_on_at);
                if first.first_at.is_some() && overlap > ALLOWED {
                    broken.push(format!(
                        "TWICE: {} went on at {} and {} still worked on it {:.2} s later ({} events there, {} here)",
                        request.attempt, later.id(), before.id(), overlap.as_secs_f64(), first.events, span.events
                    ));
                }
            }
        }
    }
    Ok(Outcome { broken, notes })
}
