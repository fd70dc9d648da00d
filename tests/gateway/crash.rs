//! A part of prompts that crashes engines is recognized by all gateways, and prompts without
//! it are served.

use std::time::Duration;

use cactusroad::platform::standin::{caller::PARTS, replica::Replica};
use http::StatusCode;
use tokio::time::sleep;

use crate::site::Site;

const DEADLY_PART: &str = "dead01";
/// The crashes after which no more than [`MAX_LATER_REQUESTS`] with the part may reach an
/// engine, once the gateways have had the time to agree.
const CRASHES: u64 = 5;
const MAX_LATER_REQUESTS: usize = 3;
/// The time for the gateways to agree.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Sends one prompt with the part and one without it. Both have the same first part.
/// Returns the status of the one without it.
async fn send_both(site: &Site, number: usize, gateway: Option<usize>) -> Option<StatusCode> {
    let deadly = format!("a1:50,{DEADLY_PART}:30,c{number}:20");
    let sound = format!("a1:50,b{}:30,d{number}:20", number % 4);
    let (deadly_id, sound_id) = (format!("x{number}"), format!("s{number}"));
    site.send_parts(gateway, &deadly_id, &deadly).await;
    let sound = site.send_parts(gateway, &sound_id, &sound).await;
    sound.map(|answer| answer.status)
}

fn crashes(site: &Site) -> u64 {
    site.engines.iter().map(Replica::crashes).sum()
}

/// Returns how many requests with the part reached an engine.
fn reached(site: &Site) -> usize {
    let seen = site.engines.iter().flat_map(|engine| engine.seen());
    let has_part = |parts: &http::HeaderValue| parts.to_str().unwrap_or("").contains(DEADLY_PART);
    seen.filter(|seen| seen.headers.get(PARTS).is_some_and(has_part))
        .count()
}

async fn start(engines: usize) -> Site {
    let site = Site::start_with(engines, 0, 6, Duration::from_millis(10)).await;
    for engine in &site.engines {
        engine.set_deadly_part(DEADLY_PART);
    }
    site
}

/// Guards against engines that crash one after the other because each request with a part
/// of a prompt is new.
#[tokio::test]
async fn part_refused_after_crashes() {
    let site = start(8).await;
    for number in 0..20 {
        send_both(&site, number, None).await;
        if crashes(&site) >= CRASHES {
            break;
        }
    }
    sleep(CONTACT).await;
    let before = reached(&site);
    let mut served = 0;
    for number in 100..120 {
        let sound = send_both(&site, number, None).await;
        served += usize::from(sound == Some(StatusCode::OK));
    }
    assert!(reached(&site) - before <= MAX_LATER_REQUESTS);
    assert_eq!(served, 20);
}

/// Guards against gateways that each learn of the part from crashes of their own.
#[tokio::test]
async fn part_known_to_other_gateways() {
    let mut site = start(8).await;
    site.start_gateways(2).await;
    for number in 0..20 {
        send_both(&site, number, None).await;
        if crashes(&site) >= CRASHES {
            break;
        }
    }
    // The other gateways have seen no crash, and serve prompts meanwhile.
    for number in 50..56 {
        let sound = format!("a1:50,b{number}:30,d{number}:20");
        for gateway in 0..2 {
            site.send_parts(Some(gateway), &format!("w{number}-{gateway}"), &sound)
                .await;
        }
    }
    sleep(CONTACT).await;
    let before = reached(&site);
    let mut served = 0;
    for number in 100..110 {
        for gateway in 0..2 {
            let sound = send_both(&site, number * 2 + gateway, Some(gateway)).await;
            served += usize::from(sound == Some(StatusCode::OK));
        }
    }
    assert!(reached(&site) - before <= MAX_LATER_REQUESTS);
    assert_eq!(served, 20);
}
