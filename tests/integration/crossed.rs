//! Tests that an entry discards messages that an agent sends for another attempt.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use cactusroad::{
    demo::site::{Config, DATA_CENTRE, MODEL_VERSION, SERVICE_VERSION, Site},
    node::{
        daemon, fleet,
        metrics::{AgentMetrics, Exporter},
        transport::{self, Identity, Incoming},
    },
    standin::roster::Vm,
    wire::message::{
        Accepted, Answer, End, Open, Ping, Pong, Reply, Request, Settled, Status, Token, open,
        reply::Body, request, settled::State,
    },
};

use cactusroad_core::{id::Incarnation, member::Role};

use crate::raw::{self, completion, request as http};

/// Text of messages sent for another attempt; no caller may receive it.
const WRONG: &str = "WRONG";
const NAME: &str = "crossing-1";
const LIFE: Incarnation = Incarnation(5);
const WORKSHOP: (&str, &str) = ("x-workspace", "workshop");

/// The ids of the attempts that the agent has received.
type Attempts = Arc<Mutex<Vec<Bytes>>>;

async fn stream(attempts: Attempts, fleet: fleet::Handle, mut incoming: Incoming) {
    let Ok(Some(first)) = incoming.receiver.next().await else {
        return;
    };
    match first.body {
        Some(request::Body::Ping(ping)) => pings(ping, incoming).await,
        Some(request::Body::Open(open)) => run(&attempts, *open, incoming).await,
        Some(request::Body::Settle(_)) => {
            // Reports another attempt as not run.
            let settled = Body::Settled(Settled {
                attempt: vec![9; 16].into(),
                state: State::NotRun.into(),
            });
            send(&mut incoming, [settled]).await;
        }
        Some(request::Body::Exchange(exchange)) => {
            // Fails if the peer has disconnected, which this test ignores.
            let _ = fleet.serve(exchange, incoming).await;
        }
        _ => {}
    }
}

async fn pings(first: Ping, mut incoming: Incoming) {
    let mut ping = first;
    loop {
        let status = Status {
            process: NAME.to_owned(),
            incarnation: LIFE.0,
            data_centre: DATA_CENTRE.to_owned(),
            versions: vec![MODEL_VERSION.to_owned(), SERVICE_VERSION.to_owned()],
            headroom_millis: 1_000,
            limit: 100,
            ..Status::default()
        };
        let body = Some(Body::Pong(Pong {
            sequence: ping.sequence,
            status: Some(status),
        }));
        if incoming.sender.send(&Reply { body }).await.is_err() {
            return;
        }
        match incoming.receiver.next().await {
            Ok(Some(Request {
                body: Some(request::Body::Ping(next)),
            })) => ping = next,
            _ => return,
        }
    }
}

async fn send<const N: usize>(incoming: &mut Incoming, bodies: [Body; N]) {
    for body in bodies {
        let body = Some(body);
        if incoming.sender.send(&Reply { body }).await.is_err() {
            return;
        }
    }
}

/// Sends answers for the previous attempt, then for the requested one.
async fn run(attempts: &Attempts, open: Open, mut incoming: Incoming) {
    let own = open.attempt;
    let before = {
        let mut attempts = attempts.lock().unwrap();
        attempts.push(own.clone());
        let before = attempts.iter().rev().nth(1).cloned();
        before.unwrap_or_else(|| vec![7; 16].into())
    };
    match open.work {
        Some(open::Work::Generate(_)) => generate(own, before, &mut incoming).await,
        Some(open::Work::Call(call)) => {
            let crossed = answer(&before, WRONG);
            send(&mut incoming, [crossed]).await;
            if !call.path.contains("never") {
                send(&mut incoming, [answer(&own, &call.path)]).await;
            }
        }
        None => {}
    }
    incoming.sender.finish();
    // Keeps the stream open until the entry has read it.
    while let Ok(Some(_)) = incoming.receiver.next().await {}
}

fn answer(attempt: &Bytes, body: &str) -> Body {
    Body::Answer(Answer {
        attempt: attempt.clone(),
        status: 200,
        body: Bytes::copy_from_slice(body.as_bytes()),
        ..Answer::default()
    })
}

async fn generate(own: Bytes, before: Bytes, incoming: &mut Incoming) {
    let token = |attempt: &Bytes, index: u64, text: &str| {
        Body::Token(Token {
            attempt: attempt.clone(),
            index,
            text: text.to_owned(),
        })
    };
    let end = |attempt: &Bytes, count: u64| {
        Body::End(End {
            attempt: attempt.clone(),
            count,
            reason: "stop".to_owned(),
        })
    };
    let accepted = Body::Accepted(Accepted {
        attempt: own.clone(),
        incarnation: 5,
        ..Accepted::default()
    });
    let bodies = [
        accepted,
        token(&before, 0, WRONG),
        token(&own, 0, " one"),
        token(&own, 0, WRONG),
        token(&before, 1, WRONG),
        end(&before, 1),
        token(&own, 1, " two"),
        token(&Bytes::new(), 2, WRONG),
        token(&own, 2, " three"),
        end(&own, 3),
    ];
    send(incoming, bodies).await;
}

/// Starts a site whose only agent also sends answers for other attempts.
async fn site() -> Site {
    let config = Config {
        entries: 1,
        engines: 1,
        ..Config::default()
    };
    let mut site = Site::start(&config).await.unwrap();
    for agent in site.agents.drain(..) {
        agent.stop().await;
    }
    let settings = site.common(NAME).unwrap();
    let identity = Identity::read(&settings.tls).unwrap();
    let socket = transport::listen(&identity, settings.inner).unwrap();
    let address = socket.local_addr().unwrap();
    let control = AgentMetrics::new(&Exporter::new()).control();
    let own = daemon::own(&settings, Role::Endpoint, LIFE, address);
    let fleet = daemon::join(&settings, own, &identity, control).unwrap();
    let attempts = Attempts::default();
    tokio::spawn(transport::serve(socket, move |incoming| {
        stream(attempts.clone(), fleet.clone(), incoming)
    }));
    site.roster.set(vec![Vm {
        name: NAME.into(),
        role: "endpoint".into(),
        address,
        data_centre: DATA_CENTRE.into(),
        leaving: false,
    }]);
    raw::until("the entry sends calls to the agent", async || {
        let bytes = http("GET /services/orders/ready", &[WORKSHOP], "");
        let answer = raw::send(site.entries[0].address(), &bytes).await;
        answer.is_some_and(|answer| answer.body == "/ready")
    })
    .await;
    site
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_crossed() {
    let site = site().await;
    let entry = site.entries[0].address();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..40 {
        calls.spawn(async move {
            let path = format!("/own/{number}");
            let line = format!("POST /services/orders{path}");
            let answer = raw::send(entry, &http(&line, &[WORKSHOP], "{}")).await;
            assert_eq!(answer.unwrap().body, path);
        });
    }
    calls.join_all().await;
    for stream in [true, false] {
        let answer = raw::send(entry, &completion("a", stream, &[]))
            .await
            .unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(!answer.body.contains(WRONG), "{answer:?}");
        let texts = match stream {
            true => vec![r#""text":" one""#, r#""text":" two""#, r#""text":" three""#],
            false => vec![r#""text":" one two three""#],
        };
        for text in texts {
            assert_eq!(answer.body.matches(text).count(), 1, "{answer:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_never_own() {
    let site = site().await;
    let line = "POST /services/orders/never";
    let bytes = http(line, &[WORKSHOP], "{}");
    let answer = raw::send(site.entries[0].address(), &bytes).await.unwrap();
    // An answer for another attempt says nothing about the outcome of this one.
    assert_eq!(answer.verdict(), "503 unavailable unknown");
    assert!(!answer.body.contains(WRONG), "{answer:?}");
}
