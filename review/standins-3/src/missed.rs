//! A version that the operator writes right after the store has come back from a copy is never
//! seen by gateways that watch the store.

use std::time::{Duration, Instant};

use crate::{
    Outcome,
    record::Record,
    replica::{Place, Replica},
    seconds,
    site::{self, Addresses, Bounds, Clients, Folder, Gateway, HEARTBEAT, SMALL, config},
    store::Store,
    wait_until,
};

/// The age of the copy from which the store comes back.
const COPY_AGE: f64 = 3.0;
/// How long the store is away.
const AWAY: f64 = 1.0;
/// How long before the store comes back the operator makes the change that is written again.
const CHANGE_BEFORE: f64 = 2.0;

pub fn play(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let (addresses, folder) = (Addresses::new(), Folder::create());
    let store = Store::start(addresses.at(1, 8742));
    let zones = ["sahel-kairouan", "sahel-sousse", "sahel-sfax"];
    let both: [&[&str]; 2] = [&["key-1"], &["key-2"]];
    store.put("config", "main", &config(10, "souk-a", 1_000, both));
    let replicas: Vec<Replica> = (0..6)
        .map(|number| {
            let service = if number < 3 { "souk-a" } else { "souk-b" };
            let place = Place {
                id: &format!("i-{number}"),
                service,
                zone: zones[number % 3],
                address: addresses.at(10 + number as u8, 8740),
                version: "v1",
                fault: None,
            };
            let offset = HEARTBEAT.mul_f64(0.1 + number as f64 / 6.0);
            Replica::start(
                place,
                Duration::from_millis(15),
                HEARTBEAT,
                offset,
                &store,
                record,
            )
        })
        .collect();
    let place = site::Place {
        addresses: &addresses,
        store: store.address,
        folder: &folder,
        bounds: &SMALL,
    };
    let gateways: Vec<Gateway> = (0..2)
        .map(|number| {
            let name = format!("edge-{}-1", zones[number]);
            Gateway::start(&name, zones[number], 2 + number as u8, &place)
        })
        .collect();
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", gateway.name));
        }
    }
    let clients = Clients::new(record);
    let began_at = Instant::now();
    let back_at = began_at + seconds(8.0);
    let acked_at = std::thread::scope(|scope| {
        let operating = scope.spawn(|| {
            wait_until(back_at - seconds(COPY_AGE));
            let copy = store.copy();
            record.write(&format!("the copy is made at revision {}", store.revision()));
            wait_until(back_at - seconds(CHANGE_BEFORE));
            let second = config(13, "souk-a", 1_100, both);
            let revision = store.put("config", "main", &second).expect("the store answers");
            record.write(&format!("the operator writes version 13 at revision {revision}"));
            wait_until(back_at - seconds(AWAY));
            if has_trouble {
                record.write(&format!("the store is away at revision {}", store.revision()));
                store.go_away();
            }
            wait_until(back_at);
            if has_trouble {
                store.come_back(copy);
                record.write(&format!("the store is back at revision {}", store.revision()));
                let revision = store.put("config", "main", &second).expect("the store answers");
                record.write(&format!("the operator writes version 13 again at revision {revision}"));
            }
            // The change that the operator could not make while the store was away.
            let third = config(17, "souk-b", 1_100, [&["key-1"], &[]]);
            let revision = store.put("config", "main", &third).expect("the store answers");
            let acked_at = Instant::now();
            record.write(&format!("the operator writes version 17 at revision {revision}: /orders/ moves to souk-b, key-2 is gone"));
            if has_trouble {
                for replica in &replicas {
                    replica.write_entry();
                }
                record.write(&format!("the replicas have written their entries again, revision {}", store.revision()));
            }
            acked_at
        });
        let end = back_at + seconds(18.0);
        let mut number = 0;
        while Instant::now() < end {
            for gateway in &gateways {
                for key in ["key-1", "key-2"] {
                    number += 1;
                    clients.send(gateway, "/orders/new", key, &format!("a{number:05}"));
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        operating.join().expect("the operator's thread ends")
    });
    std::thread::sleep(Duration::from_millis(1_500));
    judge(record, &clients, acked_at, &SMALL)
}

/// Judges requests of machines that are in touch, past all bounds that a disruption of the store
/// stretches.
pub fn judge(
    record: &Record,
    clients: &Clients,
    acked_at: Instant,
    bounds: &Bounds,
) -> Result<Outcome, String> {
    let judged_from = bounds.judged_from(acked_at);
    let sent = clients.sent();
    let before = sent
        .iter()
        .filter(|sent| sent.at < acked_at && sent.status == 200)
        .count();
    if before == 0 {
        return Err("no request was served before the change".to_owned());
    }
    let judged: Vec<_> = sent.iter().filter(|sent| sent.at >= judged_from).collect();
    let mut broken = Vec::new();
    let mut names: Vec<&str> = judged.iter().map(|sent| sent.gateway.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let own: Vec<_> = judged.iter().filter(|sent| sent.gateway == name).collect();
        let old_service = own
            .iter()
            .filter(|sent| sent.status == 200 && sent.body.starts_with("souk-a "))
            .count();
        let old_key = own
            .iter()
            .filter(|sent| sent.status == 200 && sent.key == "key-2")
            .count();
        if old_service + old_key > 0 {
            broken.push(format!(
                "CONFIG: {name}, requests sent from {:.1} s to {:.1} s after version 17 was acknowledged: {old_service} of {} run by the old service, {old_key} run with the dropped key",
                (judged_from - acked_at).as_secs_f64(),
                own.iter().map(|sent| (sent.at - acked_at).as_secs_f64()).fold(0.0, f64::max),
                own.len(),
            ));
        }
    }
    let notes = vec![format!(
        "version 17 was acknowledged at {:.3} s; {} requests judged, sent {:.0} s or more after it",
        record.seconds(acked_at),
        judged.len(),
        (judged_from - acked_at).as_secs_f64()
    )];
    Ok(Outcome { broken, notes })
}
