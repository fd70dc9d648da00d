//! A gateway that has acknowledged that a replica is draining sends it requests again when the
//! store has come back from a copy in which it was not draining yet.

use std::time::{Duration, Instant};

use crate::{
    Outcome,
    record::Record,
    replica::{Place, Replica},
    seconds,
    site::{self, Addresses, Clients, Folder, Gateway, HEARTBEAT, SMALL, config},
    store::Store,
    wait_until,
};

/// Times in seconds after the store has acknowledged that the replica is draining. A heartbeat of
/// the replica is due while the store is away; it is made again 1.2 s later.
const AWAY_AT: f64 = 2.25;
const BACK_AT: f64 = 2.45;
/// When the replica exits: it serves for `drainMs` and a little longer.
const EXIT_AT: f64 = 2.7;

/// Orders a second, over all gateways.
const PER_S: f64 = 43.0;
/// The longest work of an order on the sheet.
const WORK: Duration = Duration::from_millis(110);

pub fn play(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let (addresses, folder) = (Addresses::new(), Folder::create());
    let store = Store::start(addresses.at(1, 8742));
    let zones = ["sahel-kairouan", "sahel-sousse", "sahel-sfax"];
    store.put(
        "config",
        "main",
        &config(10, "souk-a", 1_000, [&["key-1"], &["key-2"]]),
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
            Replica::start(place, WORK, HEARTBEAT, offset, &store, record)
        })
        .collect();
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
    let mut number = 0;
    let mut send_until = |end: Instant| {
        let began_at = Instant::now();
        let mut sent = 0.0;
        while Instant::now() < end {
            let gateway = &gateways[number as usize % gateways.len()];
            number += 1;
            sent += 1.0;
            clients.send(gateway, "/orders/new", "key-1", &format!("c{number:05}"));
            wait_until(began_at + seconds(sent / PER_S));
        }
    };
    let leaver = &replicas[2];
    send_until(Instant::now() + seconds(5.0));
    // The clients are quiet while the replica begins to drain, so that no answer of its own tells
    // the gateways.
    std::thread::sleep(seconds(0.5));
    let copy = store.copy();
    record.write(&format!(
        "the copy is made at revision {}",
        store.revision()
    ));
    let drained_at = leaver.drain();
    record.write(&format!(
        "the store acknowledges that {} is draining",
        leaver.id()
    ));
    let at = |offset: f64| drained_at + seconds(offset);
    wait_until(at(1.0));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            wait_until(at(AWAY_AT));
            if has_trouble {
                record.write(&format!(
                    "the store is away at revision {}",
                    store.revision()
                ));
                store.go_away();
            }
            wait_until(at(BACK_AT));
            if has_trouble {
                store.come_back(copy);
                record.write(&format!(
                    "the store is back at revision {}",
                    store.revision()
                ));
            }
            wait_until(at(EXIT_AT));
            leaver.exit();
            record.write(&format!("{} exits", leaver.id()));
            while store.remove("servers", leaver.id()).is_none() {
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        send_until(at(5.0));
    });
    std::thread::sleep(Duration::from_millis(1_500));
    judge(record, &clients, leaver, drained_at)
}

fn judge(
    record: &Record,
    clients: &Clients,
    leaver: &Replica,
    drained_at: Instant,
) -> Result<Outcome, String> {
    let drain = Duration::from_millis(SMALL.drain);
    let runs = leaver.runs();
    if !runs.iter().any(|run| run.at < drained_at) {
        return Err("the replica got no request before".to_owned());
    }
    let sent = clients.sent();
    let after: Vec<_> = runs.iter().filter(|run| run.at > drained_at).collect();
    let acknowledged_at = drained_at + seconds(1.0);
    let between = sent
        .iter()
        .filter(|sent| sent.at > acknowledged_at && sent.at < drained_at + drain)
        .count();
    let early = after
        .iter()
        .filter(|run| run.at <= drained_at + drain)
        .count();
    let late: Vec<_> = after
        .iter()
        .filter(|run| run.at > drained_at + drain)
        .collect();
    let lost: Vec<&str> = late
        .iter()
        .filter(|run| {
            let answer = sent.iter().find(|sent| sent.attempt == run.attempt);
            answer.is_none_or(|answer| answer.status != 200)
        })
        .map(|run| run.attempt.as_str())
        .collect();
    let notes = vec![format!(
        "{} was acknowledged as draining at {:.3} s; of {between} requests sent from 1 s to 2 s after that it got {early}",
        leaver.id(),
        record.seconds(drained_at),
    )];
    let mut broken = Vec::new();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        broken.push(format!(
            "DRAIN: {} requests reached {} from {:.2} s to {:.2} s after the acknowledgement; {} of them began to run and were never answered with success: {}",
            late.len(),
            leaver.id(),
            (first.at - drained_at).as_secs_f64(),
            (last.at - drained_at).as_secs_f64(),
            lost.len(),
            lost.join(" "),
        ));
    }
    Ok(Outcome { broken, notes })
}
