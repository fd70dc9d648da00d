//! All engines of a service crash in the same moment, and all processes of the system are
//! killed before the engines are back.
//!
//! All prompts begin with the same part. Each engine crashes while it computes the first token
//! of some request. The gateway publishes these crashes in the store, with that part among the
//! suspects, and is killed. The gateway that is started next reads them, and answers lookups of
//! the plain service meanwhile.

use std::{
    io::{self, BufReader, Write},
    net::SocketAddr,
    process::{Command, ExitCode, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::Value;

use crate::{
    Context, Finding,
    engine::{self, Engines},
    http, plain,
    record::Record,
    site::{self, Process, Site},
    store::Store,
};

/// `recoveryS` of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long the engines are down: `cold_return` of the site file has 4.5 s.
const DOWN_TIME: Duration = Duration::from_millis(4_500);

/// When the gateway is killed after the engines have crashed, and how long it is down.
const KILL_DELAY: Duration = Duration::from_millis(300);
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

/// The time for which requests are counted, before the crash and after the recovery.
const COUNTED: Duration = Duration::from_secs(8);

/// The time between two streams; after every sixth, a lookup is sent as well.
const STREAM_INTERVAL: Duration = Duration::from_millis(100);
const STREAMS_PER_LOOKUP: u64 = 6;

/// The deadline of streams.
const DEADLINE: Duration = Duration::from_secs(39);

/// Runs an engine in a process of its own.
pub fn serve_engine(name: &str, address: &str, born_ms: &str) -> ExitCode {
    let engines = Engines::new(None, &Record::new());
    let started = engines.start_at(name, address, born_ms.parse().unwrap_or(0));
    if let Err(cause) = started {
        eprintln!("engine {name} cannot listen on {address}: {cause}");
        return ExitCode::from(2);
    }
    // It is killed by the process that started it, and ends when that one does.
    let mut line = String::new();
    let _ = io::stdin().read_line(&mut line);
    ExitCode::SUCCESS
}

struct Member {
    name: String,
    address: SocketAddr,
    born_ms: u64,
    _process: Process,
}

fn start_engine(name: String, address: SocketAddr) -> io::Result<Member> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let born_ms = since_epoch.map_or(0, |time| time.as_millis() as u64);
    let child = Command::new(std::env::current_exe()?)
        .args(["engine", &name, &address.to_string(), &born_ms.to_string()])
        .stdin(Stdio::piped())
        .spawn()?;
    Ok(Member {
        name,
        address,
        born_ms,
        _process: Process(child),
    })
}

/// Returns the number of requests at an engine that have no event yet.
fn unanswered(address: SocketAddr) -> usize {
    let request = "GET /v1/report HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let answer = http::exchange(address, request, Duration::from_secs(1));
    let report: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    let begun = report["executions"].as_array().map_or(0, Vec::len);
    let active = report["active"].as_u64().unwrap_or(0) as usize;
    active.saturating_sub(begun)
}

/// A request of a client, with all of its attempts.
struct Ended {
    sent_at: Instant,
    is_stream: bool,
    is_served: bool,
    /// The status of the last attempt, and the cause in its body.
    last: String,
}

/// Sends a request, and once more after a refusal, as the clients of the site do.
fn send(callers: SocketAddr, is_stream: bool, number: u64) -> Ended {
    let sent_at = Instant::now();
    let mut last = String::new();
    for attempt in 0..2 {
        let id = format!("{number:08x}{attempt:08x}");
        let request = match is_stream {
            true => site::stream_request(&id, (3_000, 80)),
            false => site::look_request(&id),
        };
        let limit = if is_stream { DEADLINE } else { Duration::from_secs(1) };
        let left = limit.saturating_sub(sent_at.elapsed());
        let sent = http::connect(callers, left.max(Duration::from_millis(1))).and_then(|mut stream| {
            stream.write_all(request.as_bytes())?;
            Ok(stream)
        });
        let answer = match sent {
            Ok(stream) => http::read_answer(&mut BufReader::new(stream), |_| {}),
            Err(_) => http::Answer::default(),
        };
        if answer.status == 200 && answer.is_complete {
            return Ended {
                sent_at,
                is_stream,
                is_served: true,
                last: "200".to_owned(),
            };
        }
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let cause = if answer.status >= 400 { &body } else { "cut" };
        last = format!("{} {cause}", answer.status);
        let retry_after = answer.headers.iter().find(|(name, _)| name == "retry-after");
        let retry_after = retry_after.and_then(|(_, text)| text.parse().ok());
        let pause = Duration::from_secs_f64(retry_after.unwrap_or(0.3));
        let left = limit.saturating_sub(sent_at.elapsed());
        // A stream is repeated only after a promise that it has not run.
        if pause > left / 3 || (is_stream && answer.status != 503) {
            break;
        }
        thread::sleep(pause);
    }
    Ended {
        sent_at,
        is_stream,
        is_served: false,
        last,
    }
}

/// Returns the requests sent in a span and those of them that were served; logs both by kind.
fn count(ended: &[Ended], from: Instant, until: Instant, text: &str, record: &Record) -> (usize, usize) {
    let of_span = || ended.iter().filter(|one| one.sent_at >= from && one.sent_at < until);
    let (mut all, mut served) = (0, 0);
    for is_stream in [true, false] {
        let of_kind = || of_span().filter(|one| one.is_stream == is_stream);
        let (sent, good) = (of_kind().count(), of_kind().filter(|one| one.is_served).count());
        let kind = if is_stream { "streams" } else { "lookups" };
        let example = of_kind().find(|one| !one.is_served);
        let example = example.map_or(String::new(), |one| format!(", e.g. {}", one.last));
        record.add(format!("{text}: {good} of {sent} {kind} served{example}"));
        all += sent;
        served += good;
    }
    (all, served)
}

pub fn run(context: &Context) -> io::Result<Finding> {
    let record = &context.record;
    let (store, store_address) = Store::start()?;
    let mut engines = Vec::new();
    for number in 1..=3 {
        let address = format!("127.0.71.{number}:0");
        let address = std::net::TcpListener::bind(address)?.local_addr()?;
        engines.push(start_engine(format!("i-{number}"), address)?);
    }
    thread::sleep(Duration::from_millis(200));
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    for one in &engines {
        store.put("servers", &one.name, engine::entry(one.address, one.born_ms, 1));
    }
    let app = plain::start("i-9", "127.0.72.1")?;
    store.put("servers", "i-9", plain::entry(app, 1));
    store.put("config", "main", site::config(7));
    let mut site = Site::start(&context.folder, "127.0.70.1", store_address, &addresses)?;

    let callers = site.callers;
    let ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (ended, is_over) = (Arc::clone(&ended), Arc::clone(&is_over));
        thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let kinds = [true, false];
                let due = if number % STREAMS_PER_LOOKUP == 0 { 2 } else { 1 };
                for is_stream in kinds.into_iter().take(due) {
                    let ended = Arc::clone(&ended);
                    let number = number * 2 + u64::from(is_stream);
                    thread::spawn(move || {
                        let one = send(callers, is_stream, number);
                        ended.lock().expect("no holder panics").push(one);
                    });
                }
                thread::sleep(STREAM_INTERVAL);
            }
        })
    };
    record.add("traffic begins");
    let began_at = Instant::now();
    thread::sleep(COUNTED);
    let crashed_at = Instant::now();
    if context.has_trouble {
        let is_busy = |address: &SocketAddr| unanswered(*address) > 0;
        while !addresses.iter().all(is_busy) && crashed_at.elapsed() < Duration::from_secs(10) {
            thread::sleep(Duration::from_millis(10));
        }
        // Dropping a process kills it.
        engines.clear();
        record.add("the engines are killed");
        thread::sleep(KILL_DELAY);
        let published = store.spec("crashes", "edge-sahel-kairouan-1");
        record.add(format!("the store holds: {}", published.unwrap_or(Value::Null)));
    }
    let down_at = Instant::now();
    record.add("the gateway is killed");
    site.restart_gateway(RESTART_DELAY)?;
    record.add("the gateway is ready again");
    if context.has_trouble {
        // Entries are removed after three heartbeats of silence.
        let expired_after = Duration::from_millis(3_600).saturating_sub(down_at.elapsed());
        thread::sleep(expired_after);
        for number in 1..=3 {
            store.remove("servers", &format!("i-{number}"));
        }
        thread::sleep(DOWN_TIME.saturating_sub(down_at.elapsed()));
        for (number, address) in addresses.iter().enumerate() {
            let one = start_engine(format!("i-{}", number + 11), *address)?;
            store.put("servers", &one.name, engine::entry(one.address, one.born_ms, 1));
            engines.push(one);
        }
        record.add("the engines are back under new ids");
    }
    thread::sleep(RECOVERY);
    let counted_from = Instant::now();
    thread::sleep(COUNTED);
    let counted_until = Instant::now();
    // Refused requests come once more, at most a third of their time later.
    thread::sleep(Duration::from_secs(14));
    is_over.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    thread::sleep(Duration::from_secs(2));

    let ended = ended.lock().expect("no holder panics");
    let text = "before the final fault";
    let (before, served_before) = count(&ended, began_at, began_at + COUNTED, text, record);
    let text = "later than recoveryS after all were back";
    let (after, served_after) = count(&ended, counted_from, counted_until, text, record);
    if before == 0 || after == 0 || served_before * 4 < before {
        return Err(io::Error::other("too little was served before the final fault"));
    }
    Ok(if served_after * 4 < after { Finding::Broken } else { Finding::Held })
}
