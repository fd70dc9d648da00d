//! Tests of the fault-injecting proxy with an echo server as the target.

use std::{net::SocketAddr, time::Duration};

use cactusroad_standin::proxy::{Direction, Impairment, tcp, udp};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time::timeout,
};

const LOOPBACK: &str = "127.0.0.1:0";
/// The timeout of an answer that must arrive.
const WAIT: Duration = Duration::from_secs(20);
/// Many times the round trip of a datagram over loopback, so an answer still missing then
/// was dropped.
const QUIET: Duration = Duration::from_millis(50);

async fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind(LOOPBACK).await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let mut buffer = [0; 64];
        while let Ok((length, peer)) = socket.recv_from(&mut buffer).await {
            let _ = socket.send_to(&buffer[..length], peer).await;
        }
    });
    address
}

async fn udp_proxy(seed: u64) -> udp::Handle {
    let front = UdpSocket::bind(LOOPBACK).await.unwrap();
    udp::spawn(seed, front, udp_echo().await).unwrap()
}

async fn client(proxy: &udp::Handle) -> UdpSocket {
    let socket = UdpSocket::bind(LOOPBACK).await.unwrap();
    socket.connect(proxy.address()).await.unwrap();
    socket
}

async fn receive(socket: &UdpSocket, wait: Duration) -> Option<u8> {
    let mut buffer = [0; 64];
    let received = timeout(wait, socket.recv(&mut buffer)).await.ok()?;
    received.ok().map(|_| buffer[0])
}

async fn tcp_proxy() -> tcp::Handle {
    let target = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = target.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = target.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    let front = TcpListener::bind(LOOPBACK).await.unwrap();
    tcp::spawn(1, front, address).unwrap()
}

/// Sends a byte and returns the echoed one, or `None` if the connection was dropped.
async fn echo(stream: &mut TcpStream, byte: u8) -> Option<u8> {
    stream.write_all(&[byte]).await.ok()?;
    let mut buffer = [0];
    let read = timeout(WAIT, stream.read_exact(&mut buffer)).await;
    read.expect("neither an echo nor a dropped connection in time")
        .ok()
        .map(|_| buffer[0])
}

#[tokio::test]
async fn udp_silent_flow() {
    for direction in [Direction::ToTarget, Direction::FromTarget, Direction::Both] {
        let proxy = udp_proxy(1).await;
        let old = client(&proxy).await;
        old.send(&[1]).await.unwrap();
        assert_eq!(receive(&old, WAIT).await, Some(1));
        assert_eq!(proxy.blackhole(direction), 1);
        old.send(&[2]).await.unwrap();
        let new = client(&proxy).await;
        new.send(&[3]).await.unwrap();
        assert_eq!(receive(&new, WAIT).await, Some(3));
        assert_eq!(receive(&old, QUIET).await, None);
    }
}

#[tokio::test]
async fn udp_stall_and_partition() {
    let proxy = udp_proxy(1).await;
    let socket = client(&proxy).await;
    proxy.stall();
    socket.send(&[1]).await.unwrap();
    assert_eq!(receive(&socket, QUIET).await, None);
    proxy.heal();
    assert_eq!(receive(&socket, WAIT).await, Some(1));
    proxy.partition();
    socket.send(&[2]).await.unwrap();
    assert_eq!(receive(&socket, QUIET).await, None);
    proxy.heal();
    socket.send(&[3]).await.unwrap();
    assert_eq!(receive(&socket, WAIT).await, Some(3));
}

#[tokio::test]
async fn udp_jitter_reorders() {
    let proxy = udp_proxy(7).await;
    proxy.set_impairment(Impairment {
        jitter: Duration::from_millis(200),
        ..Impairment::default()
    });
    let socket = client(&proxy).await;
    let sent: Vec<u8> = (0..32).collect();
    for byte in &sent {
        socket.send(&[*byte]).await.unwrap();
    }
    let mut received = Vec::new();
    while received.len() < sent.len() {
        received.extend(receive(&socket, WAIT).await);
    }
    assert_ne!(received, sent);
    received.sort();
    assert_eq!(received, sent);
}

#[tokio::test]
async fn udp_loss_repeats_with_seed() {
    let survivors = async |seed| {
        let proxy = udp_proxy(seed).await;
        proxy.set_impairment(Impairment {
            loss: 0.3,
            ..Impairment::default()
        });
        let socket = client(&proxy).await;
        let mut survivors = Vec::new();
        for byte in 0..16 {
            let lost = proxy.lost();
            socket.send(&[byte]).await.unwrap();
            let mut received = None;
            while received.is_none() && proxy.lost() == lost {
                received = receive(&socket, QUIET).await;
            }
            survivors.extend(received);
        }
        survivors
    };
    let first = survivors(3).await;
    assert!((1..16).contains(&first.len()), "{first:?}");
    assert_eq!(survivors(3).await, first);
}

#[tokio::test]
async fn tcp_drop_connections_and_refuse() {
    let proxy = tcp_proxy().await;
    let mut old = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut old, 1).await, Some(1));
    assert_eq!(proxy.drop_connections(), 1);
    assert_eq!(echo(&mut old, 2).await, None);
    proxy.refuse();
    let mut refused = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut refused, 3).await, None);
    proxy.heal();
    let mut new = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut new, 4).await, Some(4));
}

#[tokio::test]
async fn tcp_silent_connection() {
    let proxy = tcp_proxy().await;
    let mut old = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut old, 1).await, Some(1));
    assert_eq!(proxy.blackhole(Direction::FromTarget), 1);
    let mut new = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut new, 2).await, Some(2));
    assert!(timeout(QUIET, echo(&mut old, 3)).await.is_err());
}

#[tokio::test]
async fn tcp_lost_answer() {
    let proxy = tcp_proxy().await;
    proxy.drop_answers(1);
    let mut lost = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut lost, 1).await, None);
    let mut next = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut next, 2).await, Some(2));
}
