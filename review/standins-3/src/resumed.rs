//! A client resumes a stream whose gateway was killed. The answer of the engine is lost, and the
//! gateway goes on elsewhere from the beginning of the stream instead of the client's last event.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    Outcome,
    engine::{Copies, Engine, Pool},
    record::Record,
    seconds,
    site::{self, Addresses, Folder, Gateway, HEARTBEAT, PUNKTWERK},
    store::Store,
    wait_until,
};

/// Streams a second over all gateways, and in all.
const PER_S: f64 = 20.0;
const STREAMS: u32 = 240;
/// The events of a whole stream: the most that the sheet's kind of request has.
const EVENTS: u64 = 8;
/// The streams that lose their answer, of all.
const LOST: u32 = 3;
const KILLED_AFTER: f64 = 6.0;
const LIMIT: Duration = Duration::from_secs(6);

/// What a client received of one attempt.
#[derive(Clone, Debug, Default)]
struct Received {
    status: u16,
    /// The ids of the events, in order.
    events: Vec<u64>,
    /// Whether the answer ended as a complete one.
    is_whole: bool,
}

/// A stream that a client resumed.
struct Resumed {
    name: String,
    first: Received,
    second: Received,
    is_lost: bool,
}

/// A client: it sends requests and writes down what it sends and gets.
#[derive(Clone)]
struct Client {
    record: Record,
}

impl Client {
    /// Sends a request for a stream and reads the answer to its end.
    fn stream(
        &self,
        gateway: (&str, SocketAddr),
        attempt: &str,
        last_event: Option<u64>,
    ) -> Received {
        let (name, address) = gateway;
        let shown = last_event.map_or("none".to_owned(), |last| last.to_string());
        self.record.write(&format!(
            "client sends {attempt} to {name}: POST /checks/new, Last-Event-Id: {shown}"
        ));
        let mut received = Received::default();
        let ended = self.read(address, attempt, last_event, &mut received);
        received.is_whole = ended.is_ok();
        self.record.write(&format!(
            "client gets {} for {attempt}: events {:?}, {}",
            received.status,
            received.events,
            match ended {
                Ok(()) => "complete".to_owned(),
                Err(cause) => format!("broken off: {cause}"),
            }
        ));
        received
    }

    fn read(
        &self,
        address: SocketAddr,
        attempt: &str,
        last_event: Option<u64>,
        received: &mut Received,
    ) -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(LIMIT))?;
        let resume = last_event.map_or(String::new(), |last| format!("Last-Event-Id: {last}\r\n"));
        let own: u32 = attempt.bytes().fold(7, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(u32::from(byte))
        });
        let body = "the query";
        let head = format!(
            "POST /checks/new HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\
             X-Cactusroad-Attempt-Id: {attempt}\r\nX-Cactusroad-Deadline-Ms: 6000\r\n\
             X-Cactusroad-Model-Id: m\r\nX-Cactusroad-Token-Usage: 2200,{}\r\n\
             X-Cactusroad-Prompt-Prefix: 5c1e07a2:350,{own:x}:1850\r\n\
             Authorization: Bearer key-1\r\n{resume}\r\n{body}",
            site::HOST,
            body.len(),
            4 * EVENTS
        );
        (&stream).write_all(head.as_bytes())?;
        let mut reader = BufReader::new(&stream);
        let mut line = String::new();
        let cut = || io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended");
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(cut());
            }
            if let Some(rest) = line.strip_prefix("HTTP/1.1 ") {
                received.status = rest[..3].parse().unwrap_or(0);
            }
            if line == "\r\n" {
                break;
            }
        }
        if received.status != 200 {
            return Ok(());
        }
        let mut rest = Vec::new();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(cut());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "a chunk has no size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            rest.extend_from_slice(&chunk[..size]);
            while let Some(end) = rest.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = rest.drain(..end + 2).collect();
                let event = String::from_utf8_lossy(&event).into_owned();
                let id = event.lines().find_map(|line| line.strip_prefix("id: "));
                received
                    .events
                    .extend(id.and_then(|id| id.parse::<u64>().ok()));
            }
        }
    }
}

pub fn play(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let (addresses, folder) = (Addresses::new(), Folder::create());
    let store = Store::start(addresses.at(1, 8742));
    let zones = ["sahel-kairouan", "sahel-sousse", "sahel-sfax"];
    store.put("config", "main", &json!({
        "version": 10,
        "routes": [{"name": "checks", "hostname": site::HOST, "pathPrefix": "/checks/", "routeType": "streaming",
            "timeoutMs": 6_000, "targetLatencyMs": 1_500, "targetItlMs": 180, "priorityClass": 0,
            "service": "makers", "attempts": 2, "anonymous": false, "sessionAffinity": true,
            "streamResume": true}],
        "services": [{"name": "makers", "healthPath": "/healthz", "maxConnections": 372, "coldStartS": 1.0,
            "coldPerS": 25.0, "runtime": {"batchSlots": 24, "kvCapacityTokens": 26_958,
                "migrations": true, "backups": true}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-1", "apiKeys": ["key-1"]}],
    }));
    let pool = Pool {
        copies: Copies::default(),
        record: record.clone(),
        reading: Duration::from_millis(160),
        events: EVENTS,
        interval: Duration::from_millis(100),
        loses: has_trouble.then(|| "lost-".to_owned()),
        lost: Arc::default(),
    };
    let engines: Vec<Engine> = (0..6)
        .map(|number| {
            let address = addresses.at(10 + number as u8, 8740);
            let id = format!("e-{number}");
            Engine::start(&id, zones[number % 3], address, &pool, HEARTBEAT, &store)
        })
        .collect();
    let place = site::Place {
        addresses: &addresses,
        store: store.address,
        folder: &folder,
        bounds: &PUNKTWERK,
    };
    let _sidecars: Vec<Gateway> = (0..6)
        .map(|number| {
            let name = format!("side-{number}");
            Gateway::start_sidecar(&name, zones[number % 3], 10 + number as u8, &place)
        })
        .collect();
    let gateways: Vec<Gateway> = (0..4)
        .map(|number| {
            let name = format!("edge-{}-{number}", zones[number % 3]);
            Gateway::start(&name, zones[number % 3], 2 + number as u8, &place)
        })
        .collect();
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", gateway.name));
        }
    }
    thread::sleep(seconds(1.5));
    let client = Client {
        record: record.clone(),
    };
    let resumed: Mutex<Vec<Resumed>> = Mutex::default();
    let whole = AtomicU32::new(0);
    let lost = AtomicU32::new(0);
    let began_at = Instant::now();
    thread::scope(|scope| {
        if has_trouble {
            scope.spawn(|| {
                wait_until(began_at + seconds(KILLED_AFTER));
                record.write(&format!("{} is killed", gateways[0].name));
                gateways[0].kill();
            });
        }
        for number in 0..STREAMS {
            wait_until(began_at + seconds(f64::from(number) / PER_S));
            let is_killed = has_trouble && began_at.elapsed() >= seconds(KILLED_AFTER);
            // New connections go to the gateways that are ready.
            let index = match number as usize % 4 {
                0 if is_killed => 1 + number as usize / 4 % 3,
                index => index,
            };
            let (gateway, other) = (&gateways[index], &gateways[1 + number as usize % 3]);
            let (client, resumed, whole, lost) = (&client, &resumed, &whole, &lost);
            scope.spawn(move || {
                let name = format!("s-{number:03}");
                let first = client.stream((&gateway.name, gateway.callers), &name, None);
                if first.is_whole || first.events.is_empty() {
                    whole.fetch_add(
                        u32::from(first.events.len() as u64 == EVENTS),
                        Ordering::Relaxed,
                    );
                    return;
                }
                let is_lost = lost.fetch_add(1, Ordering::Relaxed) < LOST;
                let attempt = if is_lost {
                    format!("lost-{number:03}")
                } else {
                    format!("again-{number:03}")
                };
                let last = first.events.last().copied();
                let second = client.stream((&other.name, other.callers), &attempt, last);
                resumed.lock().unwrap().push(Resumed {
                    name,
                    first,
                    second,
                    is_lost,
                });
            });
        }
    });
    drop(engines);
    let resumed = resumed.into_inner().unwrap();
    let went_on = |is_lost: bool| {
        let own = resumed.iter().filter(|stream| stream.is_lost == is_lost);
        let follows = |stream: &&Resumed| {
            stream.second.events.first() == stream.first.events.last().map(|last| last + 1).as_ref()
        };
        format!("{} of {}", own.clone().filter(follows).count(), own.count())
    };
    let notes = vec![
        format!(
            "{} of {STREAMS} streams were answered whole at first",
            whole.load(Ordering::Relaxed)
        ),
        format!(
            "resumed streams that went on after the client's last event: {} whose answer arrived, {} whose answer was lost",
            went_on(false),
            went_on(true)
        ),
    ];
    let mut broken = Vec::new();
    for stream in &resumed {
        let last = stream.first.events.last().copied().unwrap_or(0);
        let twice: Vec<u64> = stream
            .second
            .events
            .iter()
            .copied()
            .filter(|id| *id <= last)
            .collect();
        if !twice.is_empty() {
            broken.push(format!(
                "ORDER: {} had the events 1 to {last} and was resumed with Last-Event-Id: {last}; the events {twice:?} came again",
                stream.name
            ));
        }
    }
    Ok(Outcome { broken, notes })
}
