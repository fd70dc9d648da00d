//! Gateways that learn of changes from another gateway of their zone never see a version that
//! was written after the store has come back from a copy.

use std::time::{Duration, Instant};

use crate::{
    Outcome, missed,
    record::Record,
    replica::{Place, Replica},
    seconds,
    site::{self, Addresses, Clients, Folder, GROWN, Gateway, HEARTBEAT, config},
    store::Store,
    wait_until,
};

/// The age of the copy from which the store comes back.
const COPY_AGE: f64 = 4.0;
/// How long the store is away.
const AWAY: f64 = 0.1;
/// How long after its return the operator makes the next change.
const CHANGE_AFTER: f64 = 0.85;

pub fn play(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let (addresses, folder) = (Addresses::new(), Folder::create());
    let store = Store::start(addresses.at(1, 8742));
    let zones = ["sahel-kairouan", "sahel-sousse", "sahel-sfax"];
    let both: [&[&str]; 2] = [&["key-1"], &["key-2"]];
    store.put("config", "main", &config(10, "souk-a", 1_000, both));
    let replicas: Vec<Replica> = (0..9)
        .map(|number| {
            let service = if number < 4 { "souk-a" } else { "souk-b" };
            let place = Place {
                id: &format!("i-{number}"),
                service,
                zone: zones[number % 3],
                address: addresses.at(10 + number as u8, 8740),
                version: "v1",
                fault: None,
            };
            let offset = HEARTBEAT.mul_f64(0.1 + number as f64 / 9.0);
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
        bounds: &GROWN,
    };
    let gateways: Vec<Gateway> = (1..=4)
        .map(|number| {
            let name = format!("edge-sahel-sousse-{number}");
            Gateway::start(&name, "sahel-sousse", 1 + number, &place)
        })
        .collect();
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", gateway.name));
        }
    }
    let clients = Clients::new(record);
    let began_at = Instant::now();
    // By then the gateways have found each other.
    let back_at = began_at + seconds(12.0);
    let acked_at = std::thread::scope(|scope| {
        let operating = scope.spawn(|| {
            wait_until(back_at - seconds(COPY_AGE));
            let copy = store.copy();
            record.write(&format!("the copy is made at revision {}", store.revision()));
            wait_until(back_at - seconds(AWAY));
            if has_trouble {
                record.write(&format!("the store is away at revision {}", store.revision()));
                store.go_away();
            }
            wait_until(back_at);
            if has_trouble {
                store.come_back(copy);
                record.write(&format!("the store is back at revision {}", store.revision()));
                for replica in &replicas {
                    replica.write_entry();
                }
                record.write(&format!("the replicas have written their entries again, revision {}", store.revision()));
            }
            wait_until(back_at + seconds(CHANGE_AFTER));
            let next = config(17, "souk-b", 1_000, [&["key-1"], &[]]);
            let revision = store.put("config", "main", &next).expect("the store answers");
            record.write(&format!("the operator writes version 17 at revision {revision}: /orders/ moves to souk-b, key-2 is gone"));
            Instant::now()
        });
        let end = back_at + seconds(24.0);
        let mut number = 0;
        while Instant::now() < end {
            for gateway in &gateways {
                for key in ["key-1", "key-2"] {
                    number += 1;
                    clients.send(gateway, "/orders/new", key, &format!("b{number:05}"));
                }
            }
            std::thread::sleep(Duration::from_millis(250));
        }
        operating.join().expect("the operator's thread ends")
    });
    std::thread::sleep(Duration::from_millis(1_500));
    missed::judge(record, &clients, acked_at, &GROWN)
}
