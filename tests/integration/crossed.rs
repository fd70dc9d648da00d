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

use crate::raw::{self, completion, request as http_request};

/// Text of messages sent for another attempt; no caller may receive it.
const OTHER_ATTEMPT_TEXT: &str = "WRONG";
/// Name of the simulated agent.
const AGENT_NAME: &str = "crossing-1";
/// Incarnation of the simulated agent.
const INCARNATION: Incarnation = Incarnation(5);
const WORKSPACE_HEADER: (&str, &str) = ("x-workspace", "workshop");

/// The ids of the attempts that the agent has received.
type Attempts = Arc<Mutex<Vec<Bytes>>>;

async fn serve_stream(attempts: Attempts, fleet: fleet::Handle, mut incoming: Incoming) {
    let Ok(Some(first)) = incoming.receiver.next().await else {
        return;
    };
    match first.body {
        Some(request::Body::Ping(ping)) => answer_pings(ping, incoming).await,
        Some(request::Body::Open(open)) => serve_attempt(&attempts, *open, incoming).await,
        Some(request::Body::Settle(_)) => {
            // Reports another attempt as not run.
            let settled = Body::Settled(Settled {
                attempt: vec![9; 16].into(),
                state: State::NotRun.into(),
            });
            send_bodies(&mut incoming, [settled]).await;
        }
        Some(request::Body::Exchange(exchange)) => {
            // Fails if the peer has disconnected, which this test ignores.
            let _ = fleet.serve(exchange, incoming).await;
        }
        _ => {}
    }
}

async fn answer_pings(first: Ping, mut incoming: Incoming) {
    let mut ping = first;
    loop {
        let status = Status {
            process: AGENT_NAME.to_owned(),
            incarnation: INCARNATION.0,
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

async fn send_bodies<const N: usize>(incoming: &mut Incoming, bodies: [Body; N]) {
    for body in bodies {
        let body = Some(body);
        if incoming.sender.send(&Reply { body }).await.is_err() {
            return;
        }
    }
}

/// Sends answers for the previous attempt, then for the requested one.
///
/// A call whose path contains `never` gets only the answer for the previous attempt.
async fn serve_attempt(attempts: &Attempts, open: Open, mut incoming: Incoming) {
    let own = open.attempt;
    let previous = {
        let mut attempts = attempts.lock().unwrap();
        attempts.push(own.clone());
        let previous = attempts.iter().rev().nth(1).cloned();
        // For the first attempt, an id that no attempt has.
        previous.unwrap_or_else(|| vec![7; 16].into())
    };
    match open.work {
        Some(open::Work::Generate(_)) => send_generation(own, previous, &mut incoming).await,
        Some(open::Work::Call(call)) => {
            let misrouted = answer_body(&previous, OTHER_ATTEMPT_TEXT);
            send_bodies(&mut incoming, [misrouted]).await;
            if !call.path.contains("never") {
                send_bodies(&mut incoming, [answer_body(&own, &call.path)]).await;
            }
        }
        None => {}
    }
    incoming.sender.finish();
    // Keeps the stream open until the entry has read it.
    while let Ok(Some(_)) = incoming.receiver.next().await {}
}

fn answer_body(attempt: &Bytes, body: &str) -> Body {
    Body::Answer(Answer {
        attempt: attempt.clone(),
        status: 200,
        body: Bytes::copy_from_slice(body.as_bytes()),
        ..Answer::default()
    })
}

async fn send_generation(own: Bytes, previous: Bytes, incoming: &mut Incoming) {
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
    // Between the right messages are some for another attempt or for none, and a token with an
    // index that was sent before.
    let bodies = [
        accepted,
        token(&previous, 0, OTHER_ATTEMPT_TEXT),
        token(&own, 0, " one"),
        token(&own, 0, OTHER_ATTEMPT_TEXT),
        token(&previous, 1, OTHER_ATTEMPT_TEXT),
        end(&previous, 1),
        token(&own, 1, " two"),
        token(&Bytes::new(), 2, OTHER_ATTEMPT_TEXT),
        token(&own, 2, " three"),
        end(&own, 3),
    ];
    send_bodies(incoming, bodies).await;
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
    let settings = site.common_settings(AGENT_NAME).unwrap();
    let identity = Identity::read(&settings.tls).unwrap();
    let socket = transport::listen(&identity, settings.inner).unwrap();
    let address = socket.local_addr().unwrap();
    let control = AgentMetrics::new(&Exporter::new()).control();
    let own = daemon::own_member(&settings, Role::Endpoint, INCARNATION, address);
    let fleet = daemon::start_gossip(&settings, own, &identity, control).unwrap();
    let attempts = Attempts::default();
    tokio::spawn(transport::serve(socket, move |incoming| {
        serve_stream(attempts.clone(), fleet.clone(), incoming)
    }));
    site.roster.set(vec![Vm {
        name: AGENT_NAME.into(),
        role: "endpoint".into(),
        address,
        data_centre: DATA_CENTRE.into(),
        leaving: false,
    }]);
    raw::wait_until("the entry sends calls to the agent", async || {
        let bytes = http_request("GET /services/orders/ready", &[WORKSPACE_HEADER], "");
        let answer = raw::send(site.entries[0].address(), &bytes).await;
        answer.is_some_and(|answer| answer.body == "/ready")
    })
    .await;
    site
}

#[tokio::test(flavor = "multi_thread")]
async fn misrouted_answers_ignored() {
    let site = site().await;
    let entry = site.entries[0].address();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..40 {
        calls.spawn(async move {
            let path = format!("/own/{number}");
            let line = format!("POST /services/orders{path}");
            let answer = raw::send(entry, &http_request(&line, &[WORKSPACE_HEADER], "{}")).await;
            assert_eq!(answer.unwrap().body, path);
        });
    }
    calls.join_all().await;
    for stream in [true, false] {
        let answer = raw::send(entry, &completion("a", stream, &[]))
            .await
            .unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(!answer.body.contains(OTHER_ATTEMPT_TEXT), "{answer:?}");
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
async fn misrouted_answer_only() {
    let site = site().await;
    let line = "POST /services/orders/never";
    let bytes = http_request(line, &[WORKSPACE_HEADER], "{}");
    let answer = raw::send(site.entries[0].address(), &bytes).await.unwrap();
    // An answer for another attempt says nothing about the outcome of this one.
    assert_eq!(answer.summary(), "503 unavailable unknown");
    assert!(!answer.body.contains(OTHER_ATTEMPT_TEXT), "{answer:?}");
}
