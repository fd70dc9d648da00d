//! A version that is bad under load only is reported as complete a second after it gets its first
//! full load; the old replicas are stopped, and there is no way back.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    Outcome,
    record::Record,
    replica::{Fault, Place, Replica},
    seconds,
    site::{self, Addresses, Clients, Folder, Gateway, HEARTBEAT, SMALL, config},
    store::Store,
    wait_until,
};

/// The time that the order allows.
const DURATION_S: f64 = 12.0;
/// Orders a second, over all gateways.
const PER_S: f64 = 100.0;
const WORK: Duration = Duration::from_millis(50);
/// "several times slower", "under load": with half of the slots taken.
const FAULT: Fault = Fault {
    from_running: 3,
    factor: 4,
};
/// The bounds of the rule.
const ROLLBACK: Duration = Duration::from_millis(5_000);
const BAD_ANSWERS: usize = 50;

pub fn play(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let (addresses, folder) = (Addresses::new(), Folder::create());
    let store = Store::start(addresses.at(1, 8742));
    let zones = ["sahel-kairouan", "sahel-sousse", "sahel-sfax"];
    store.put(
        "config",
        "main",
        &config(10, "souk-a", 1_000, [&["key-1"], &["key-2"]]),
    );
    let start = |host: u8, version: &str, fault| {
        let number = usize::from(host) % 3;
        let place = Place {
            id: &format!("i-{version}-{number}"),
            service: "souk-a",
            zone: zones[number],
            address: addresses.at(host, 8740),
            version,
            fault,
        };
        let offset = HEARTBEAT.mul_f64(0.2 + number as f64 / 3.0);
        Replica::start(place, WORK, HEARTBEAT, offset, &store, record)
    };
    let old: Vec<Replica> = (10..13).map(|host| start(host, "v1", None)).collect();
    let place = site::Place {
        addresses: &addresses,
        store: store.address,
        folder: &folder,
        bounds: &SMALL,
    };
    // As on the sheet: four in three zones.
    let gateways: Vec<Gateway> = [(0, 1), (1, 1), (1, 2), (2, 1)]
        .into_iter()
        .enumerate()
        .map(|(index, (zone, number))| {
            let name = format!("edge-{}-{number}", zones[zone]);
            Gateway::start(&name, zones[zone], 2 + index as u8, &place)
        })
        .collect();
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", gateway.name));
        }
    }
    let clients = Clients::new(record);
    let began_at = Instant::now();
    let ordered_at = began_at + seconds(6.0);
    let deadline = ordered_at + seconds(DURATION_S);
    let end = deadline + seconds(20.0);
    let new = thread::scope(|scope| {
        let operating = scope.spawn(|| {
            wait_until(ordered_at);
            store.put(
                "rollouts",
                "souk-a",
                &json!({"service": "souk-a", "target": "v2", "durationS": DURATION_S}),
            );
            record.write("the operator orders v2 of souk-a");
            let fault = has_trouble.then_some(FAULT);
            let new: Vec<Replica> = (13..16).map(|host| start(host, "v2", fault)).collect();
            let mut known = String::new();
            while Instant::now() < end {
                let status = store.status("rollouts", "souk-a");
                let phase = status
                    .as_ref()
                    .and_then(|status| status["phase"].as_str())
                    .unwrap_or("none")
                    .to_owned();
                if phase != known {
                    record.write(&format!("the roll-out is {phase}"));
                    let leaving = match phase.as_str() {
                        // At `complete`, the old replicas stop at once.
                        "complete" => Some(&old),
                        "reverted" => Some(&new),
                        _ => None,
                    };
                    for replica in leaving.into_iter().flatten() {
                        if phase == "reverted" {
                            replica.drain();
                        } else {
                            replica.exit();
                            store.remove("servers", replica.id());
                        }
                    }
                    known = phase;
                }
                thread::sleep(Duration::from_millis(20));
            }
            (new, known)
        });
        let mut number = 0_u32;
        while Instant::now() < end {
            let gateway = &gateways[number as usize % gateways.len()];
            number += 1;
            clients.send(gateway, "/orders/new", "key-1", &format!("d{number:05}"));
            wait_until(began_at + seconds(f64::from(number) / PER_S));
        }
        operating.join().expect("the operator's thread ends")
    });
    thread::sleep(Duration::from_millis(1_500));
    let (new, phase) = new;
    let mut bad: Vec<Instant> = new
        .iter()
        .flat_map(Replica::runs)
        .filter_map(|run| run.bad_at)
        .collect();
    bad.sort();
    let sent = clients.sent();
    let failed = |from: Instant, to: Instant| {
        let own: Vec<_> = sent
            .iter()
            .filter(|sent| sent.at >= from && sent.at < to)
            .collect();
        (
            own.iter().filter(|sent| sent.status != 200).count(),
            own.len(),
        )
    };
    let (before, after) = (
        failed(began_at, deadline),
        failed(deadline + seconds(3.0), end),
    );
    let notes = vec![
        format!(
            "the roll-out ended as {phase}; the deadline was at {:.1} s",
            record.seconds(deadline)
        ),
        format!(
            "orders not answered with success: {} of {} before the deadline, {} of {} from 3 s after it",
            before.0, before.1, after.0, after.1
        ),
        format!(
            "bad answers of v2: {}, of these {} before the deadline",
            bad.len(),
            bad.iter().filter(|at| **at < deadline).count()
        ),
    ];
    let mut broken = Vec::new();
    if let Some(fiftieth) = bad.get(BAD_ANSWERS - 1) {
        let late = |run: &&crate::replica::Run| {
            let request = sent.iter().find(|sent| sent.attempt == run.attempt);
            request.is_some_and(|request| request.at > *fiftieth + ROLLBACK)
        };
        let runs: Vec<_> = new.iter().flat_map(Replica::runs).collect();
        let late = runs.iter().filter(late).count();
        if late > 0 {
            broken.push(format!(
                "EXPOSURE: v2 got {late} requests that were sent later than 5 s after its 50th bad answer, which was at {:.1} s",
                record.seconds(*fiftieth)
            ));
        }
    }
    Ok(Outcome { broken, notes })
}
