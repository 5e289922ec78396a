//! Invalid input on every port: it is rejected, and the daemon keeps working.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{document, fleet, places};
use http::{Method, StatusCode};
use jackdaw_trial::rig::fleet::Fleet;
use jackdaw_trial::rig::session::{Session, send_once};
use jackdawpulley::calls::outcome::OUTCOME;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

const TIMEOUT: Duration = Duration::from_secs(5);

async fn start() -> Fleet {
    let mut fleet = fleet(&[]).await;
    fleet.add_hosts(&places(2, 1)).await;
    assert!(fleet.wait_for_members(2, TIMEOUT).await);
    // A target is a separate process that may start later than its daemon.
    assert!(fleet.wait_for_upstreams(2, TIMEOUT).await);
    let version = fleet.publish_document(0, document(1)).await;
    assert!(fleet.wait_for_version(version, TIMEOUT).await);
    fleet
}

/// Checks that the daemon still serves a call and still sees its peer.
async fn assert_healthy(fleet: &Fleet) {
    let request = Session::request(Method::GET, "/titles", &[("x-request", "r")], "");
    let response = Session::new(fleet.hosts[0].call_address())
        .send(request, TIMEOUT)
        .await;
    assert_eq!(
        response.expect("a complete response").header(OUTCOME),
        "answered"
    );
    assert!(fleet.wait_for_members(2, TIMEOUT).await);
}

/// Sends bytes and reads until the daemon closes the connection or 500 ms have passed.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    stream.write_all(bytes).await.expect("the bytes are sent");
    let mut response = Vec::new();
    let _ = tokio::time::timeout(
        Duration::from_millis(500),
        stream.read_to_end(&mut response),
    )
    .await;
    response
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_is_tolerated() {
    let fleet = start().await;
    let host = &fleet.hosts[0];
    let garbage: Vec<u8> = (0..5_000_u32)
        .map(|i| (i * 7 % 251).to_le_bytes()[0])
        .collect();
    for address in [
        host.peer_address(),
        host.call_address(),
        host.operator_address(),
        SocketAddr::new(host.ip, 7_003),
    ] {
        exchange(address, &garbage).await;
        exchange(address, b"GET / HTTP/1.1\r\nbroken header\r\n\r\n").await;
        exchange(
            address,
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\x00\x00",
        )
        .await;
    }
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    for length in [0, 1, 20, 300, 1_400] {
        let _ = socket
            .send_to(&garbage[..length], host.peer_address())
            .await;
    }
    assert_healthy(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_frames_are_rejected() {
    let fleet = start().await;
    let peer = fleet.hosts[0].peer_address();
    let stream = TcpStream::connect(peer).await.expect("it listens");
    let (mut sender, connection) = h2::client::handshake(stream).await.expect("it speaks h2");
    tokio::spawn(connection);
    for path in [
        "/control/push",
        "/control/pull",
        "/control/join",
        "/control/note",
        "/nowhere",
    ] {
        sender = sender.ready().await.expect("the connection goes on");
        let request = http::Request::post(format!("http://{peer}{path}"))
            .body(())
            .expect("valid");
        let (response, mut body) = sender.send_request(request, false).expect("it is sent");
        body.send_data(vec![0xff; 64].into(), true)
            .expect("it is sent");
        let error = response.await.expect_err("it is refused");
        assert_eq!(error.reason(), Some(h2::Reason::PROTOCOL_ERROR), "{path}");
    }
    let request = http::Request::post(format!("http://{peer}/titles"));
    let request = request
        .header("x-jackdaw-handover", "not hex")
        .body(())
        .expect("valid");
    let mut sender = sender.ready().await.expect("the connection goes on");
    let (response, _) = sender.send_request(request, true).expect("it is sent");
    let error = response.await.expect_err("it is refused");
    assert_eq!(error.reason(), Some(h2::Reason::REFUSED_STREAM));
    assert_healthy(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_explained() {
    let fleet = start().await;
    let host = &fleet.hosts[0];
    let target = SocketAddr::new(host.ip, 7_003);
    let long = format!(
        r#"{{"id":"x","base":{{"version":0}},"document":{{"x":"{}"}}}}"#,
        "y".repeat(5 << 20)
    );
    let cases = [
        (
            host.operator_address(),
            "/config",
            "{",
            StatusCode::BAD_REQUEST,
        ),
        (
            host.operator_address(),
            "/config",
            long.as_str(),
            StatusCode::PAYLOAD_TOO_LARGE,
        ),
        (target, "/announce", "[]", StatusCode::BAD_REQUEST),
        (
            target,
            "/announce",
            r#"{"service":"a b","address":"127.0.0.1:1","slots":1,"lease_ms":1}"#,
            StatusCode::UNPROCESSABLE_ENTITY,
        ),
        (
            target,
            "/announce",
            r#"{"service":"s","address":"127.0.0.1:1","slots":0,"lease_ms":1}"#,
            StatusCode::UNPROCESSABLE_ENTITY,
        ),
    ];
    for (address, path, body, status) in cases {
        let response = send_once(address, Method::POST, path, body)
            .await
            .expect("a complete response");
        assert_eq!(response.status, status, "{path}");
        assert!(!response.body.is_empty(), "{path} explains the rejection");
    }
    assert_healthy(&fleet).await;
}
