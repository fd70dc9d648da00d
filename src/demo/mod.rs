//! A demo of a whole site in one process; the tests and benchmarks share its parts.
//!
//! [`run`] starts a [`site::Site`], sends generations and an order through it,
//! aborts an entry in the middle of a stream, and compares what the caller received
//! with what the stand-ins recorded.

pub mod client;
pub mod site;

use std::{process::ExitCode, time::Instant};

use cactusroad_core::stream::EventId;
use cactusroad_standin::engine::text;
use serde_json::json;

use self::{
    client::{Client, Generation, StreamEvent},
    site::{Config, Error, MODEL_ROUTE, SERVICE_ROUTE, Site},
};

/// The number of tokens after which the demo aborts an entry.
const ABORT_AFTER_TOKENS: usize = 12;
/// The `max_tokens` of the demo's requests.
const MAX_TOKENS: u32 = 1_000;

/// Runs the demo and prints whether all checks passed; `stay` keeps the site running until
/// Ctrl-C.
pub async fn run(stay: bool) -> ExitCode {
    match run_steps(stay).await {
        Ok(()) => {
            println!("\nAll checks passed.");
            ExitCode::SUCCESS
        }
        Err(cause) => {
            println!("\nA check failed, or the demo could not run: {cause}");
            ExitCode::FAILURE
        }
    }
}

async fn run_steps(stay: bool) -> Result<(), Error> {
    println!("Starting a site on loopback: 2 entries, 2 engines and 1 service with an agent each.");
    let mut site = Site::start(&Config::default()).await?;
    for (number, entry) in site.entries.iter().enumerate() {
        println!("  entry-{} listens on {}", number + 1, entry.address());
    }
    let client = Client::new();
    stream_generation(&site, &client).await?;
    place_order(&site, &client).await?;
    if stay {
        wait_for_interrupt(&site).await?;
    }
    resume_after_abort(&mut site, &client).await
}

/// Streams a generation from an engine, through an agent and an entry, to a caller.
async fn stream_generation(site: &Site, client: &Client) -> Result<(), Error> {
    let prompt = "Draft a catalogue page for felt slippers. [len=40]";
    println!("\n1. A generation, streamed through entry-1:");
    let started = Instant::now();
    let address = site.entries[0].address();
    let mut generation = client
        .generate(address, MODEL_ROUTE, prompt, MAX_TOKENS, None)
        .await?;
    let mut tokens = Vec::new();
    let last = read_tokens(&mut generation, &mut tokens, usize::MAX).await?;
    let last = last.ok_or("the stream contained no token")?;
    println!(
        "  caller -> entry-1 -> agent {} -> its engine",
        last.endpoint
    );
    println!(
        "  {} tokens in {:?}:{}",
        tokens.len(),
        started.elapsed(),
        tokens.concat()
    );
    check_tokens(prompt, &tokens)
}

/// Sends one order through both entries and checks that the service runs it once.
async fn place_order(site: &Site, client: &Client) -> Result<(), Error> {
    println!("\n2. An order with an idempotency key, sent through both entries:");
    let body = json!({"item": "sheepskin", "count": 12});
    let path = format!("{SERVICE_ROUTE}/place");
    let key = "order-2207";
    for (number, entry) in site.entries.iter().enumerate() {
        let answer = client
            .call(entry.address(), &path, Some(key), &body)
            .await?;
        println!("  through entry-{}: {answer}", number + 1);
    }
    let runs = site.service.seen().runs_of(key);
    println!("  the service ran the order {runs} time(s)");
    match runs {
        1 => Ok(()),
        _ => Err(format!("the service ran the order {runs} times instead of once").into()),
    }
}

/// Aborts the entry of a stream, resumes the stream through the other entry, and checks that
/// the engines started the generation once.
async fn resume_after_abort(site: &mut Site, client: &Client) -> Result<(), Error> {
    let prompt = "Sort the queries about soles. [len=60]";
    println!("\n3. A generation whose entry fails after {ABORT_AFTER_TOKENS} tokens:");
    let address = site.entries[0].address();
    let mut generation = client
        .generate(address, MODEL_ROUTE, prompt, MAX_TOKENS, None)
        .await?;
    let mut tokens = Vec::new();
    let last = read_tokens(&mut generation, &mut tokens, ABORT_AFTER_TOKENS).await?;
    let last = last.ok_or("the stream contained no token")?;
    site.entries.remove(0).abort();
    drop(generation);
    println!("  entry-1 was aborted; the last event id that the caller received is {last}");
    let address = site.entries[0].address();
    let mut generation = client
        .generate(address, MODEL_ROUTE, prompt, MAX_TOKENS, Some(&last))
        .await?;
    read_tokens(&mut generation, &mut tokens, usize::MAX).await?;
    println!(
        "  entry-2 resumed the stream at token {}; {} tokens in total",
        last.index + 1,
        tokens.len()
    );
    check_tokens(prompt, &tokens)?;
    let starts: u64 = site
        .engines
        .iter()
        .map(|engine| {
            engine
                .seen()
                .of_prompt(prompt)
                .map(|seen| seen.starts)
                .sum::<u64>()
        })
        .sum();
    println!("  the engines started the generation {starts} time(s)");
    match starts {
        1 => Ok(()),
        _ => {
            Err(format!("the engines started the generation {starts} times instead of once").into())
        }
    }
}

/// Reads tokens until there are `limit` or the stream is complete; returns the last id.
async fn read_tokens(
    generation: &mut Generation,
    tokens: &mut Vec<String>,
    limit: usize,
) -> Result<Option<EventId>, Error> {
    let mut last = None;
    while tokens.len() < limit {
        match generation.next().await? {
            Some(StreamEvent::Token { id, text }) => {
                tokens.push(text);
                last = Some(id);
            }
            Some(StreamEvent::Done) => break,
            Some(StreamEvent::Error(body)) => {
                return Err(format!("the stream ended with the error {body}").into());
            }
            None => return Err("the connection ended before the stream was complete".into()),
        }
    }
    Ok(last)
}

/// Checks that the tokens are those that the engine generates for the prompt.
fn check_tokens(prompt: &str, tokens: &[String]) -> Result<(), Error> {
    match tokens == text::tokens(prompt, MAX_TOKENS) {
        true => {
            println!("  the caller received every token once and in order");
            Ok(())
        }
        false => Err("the caller received missing, duplicate or reordered tokens".into()),
    }
}

/// Prints example requests and waits until the process is interrupted.
async fn wait_for_interrupt(site: &Site) -> Result<(), Error> {
    let address = site.entries[0].address();
    println!("\nThe site runs until Ctrl-C. Try:");
    println!(
        "  curl -N http://{address}/v1/completions -H 'x-workspace: {}' -d \
         '{{\"model\": \"{MODEL_ROUTE}\", \"prompt\": \"Hello [len=20]\", \"stream\": true}}'",
        client::WORKSPACE
    );
    println!(
        "  curl http://{address}/services/{SERVICE_ROUTE}/place -H 'x-workspace: {}' \
         -H 'idempotency-key: mine-1' -d '{{\"item\": \"dye\"}}'",
        client::WORKSPACE
    );
    tokio::signal::ctrl_c().await?;
    Ok(())
}
