//! A version that takes away the last tenant opens all routes to everyone.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    Outcome,
    record::Record,
    replica::{Place, Replica},
    seconds,
    site::{self, Addresses, Clients, Folder, Gateway, HEARTBEAT, SMALL, config},
    store::Store,
    wait_until,
};

/// The key of the only tenant.
const KEY: &str = "key-1";
/// A key that no version holds.
const NEVER_HELD: &str = "key-never-held";

pub fn play(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let (addresses, folder) = (Addresses::new(), Folder::create());
    let store = Store::start(addresses.at(1, 8742));
    let zones = ["sahel-kairouan", "sahel-sousse", "sahel-sfax"];
    let version = |number, tenants| {
        let mut config = config(number, "souk-a", 1_000, [&[], &[]]);
        config["tenants"] = tenants;
        config
    };
    store.put(
        "config",
        "main",
        &version(10, json!([{"name": "tenant-1", "apiKeys": [KEY]}])),
    );
    let replicas: Vec<Replica> = (0..3)
        .map(|number| {
            let place = Place {
                id: &format!("i-{number}"),
                service: "souk-a",
                zone: zones[number],
                address: addresses.at(10 + number as u8, 8740),
                version: "v1",
                fault: None,
            };
            let offset = HEARTBEAT.mul_f64(0.2 + number as f64 / 3.0);
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
    let mut number = 0;
    let mut send_until = |end: Instant| {
        while Instant::now() < end {
            for gateway in &gateways {
                for key in [KEY, NEVER_HELD] {
                    number += 1;
                    clients.send(gateway, "/orders/new", key, &format!("e{number:05}"));
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
    };
    let began_at = Instant::now();
    send_until(began_at + seconds(5.0));
    let tenants = if has_trouble {
        json!([])
    } else {
        json!([{"name": "tenant-1", "apiKeys": []}])
    };
    store.put("config", "main", &version(13, tenants.clone()));
    let acked_at = Instant::now();
    record.write(&format!(
        "the operator writes version 13, whose tenants are {tenants}"
    ));
    send_until(acked_at + seconds(8.0));
    wait_until(acked_at + seconds(9.5));
    let sent = clients.sent();
    let judged_from = acked_at + Duration::from_millis(SMALL.config_apply);
    let runs: Vec<_> = replicas.iter().flat_map(Replica::runs).collect();
    let count = |key: &str, is_judged: bool| {
        let of_key = sent.iter().filter(|sent| sent.key == key);
        let of_key: Vec<_> = of_key
            .filter(|sent| {
                if is_judged {
                    sent.at >= judged_from
                } else {
                    sent.at < acked_at
                }
            })
            .collect();
        let ran = |sent: &&&site::Sent| runs.iter().any(|run| run.attempt == sent.attempt);
        (of_key.iter().filter(ran).count(), of_key.len())
    };
    let (before, before_never) = (count(KEY, false), count(NEVER_HELD, false));
    if before.0 == 0 {
        return Err("no request was served before the change".to_owned());
    }
    let (dropped, never) = (count(KEY, true), count(NEVER_HELD, true));
    let notes = vec![format!(
        "before version 13: {} of {} requests with the key run, {} of {} with a key that no version held",
        before.0, before.1, before_never.0, before_never.1
    )];
    let mut broken = Vec::new();
    if never.0 + before_never.0 > 0 {
        broken.push(format!(
            "ROUTE: {} of {} requests with a key that no version ever held run",
            never.0, never.1
        ));
    }
    if dropped.0 > 0 {
        broken.push(format!(
            "CONFIG: {} of {} requests with the dropped key run, sent 2 s and more after its version was acknowledged",
            dropped.0, dropped.1
        ));
    }
    Ok(Outcome { broken, notes })
}
