//! Answers to the programs' own calls whose head is no HTTP.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::{BodyPace, HttpClient, PacedError, SendError};

/// Timeout of a call, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;
const PACE: BodyPace = BodyPace {
    min_bytes_per_ms: 1,
    max_extra_ms: 0,
};

/// Status and header lines before the length of the body.
const HEADS: [&str; 18] = [
    "HTTP/1.1 000 Down",
    "HTTP/1.1 001 Down",
    "HTTP/1.1 099 Down",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other",
    "HTTP/1.1 600 Down",
    "HTTP/1.1 999 Down",
    "HTTP/1.1 200 OK\r\nx odd: 1",
    "HTTP/1.1 200 OK\r\nx-odd : 1",
    "HTTP/1.1 200 OK\r\n x-odd: 1",
    "HTTP/1.1 200 OK\r\nx\u{1}odd: 1",
    "HTTP/1.1 200 OK\r\nx\0odd: 1",
    "HTTP/1.1 200 OK\r\nx-odd: 1\r\n folded",
    "HTTP/1.1 200 OK\r\ncontent length: 1",
    "HTTP/1.1 200 OK\r\ntransfer-encoding : chunked",
    "HTTP/1.1 200 OK\r\nno colon",
];

/// Starts a server that answers the first request of each connection with `head` and a body.
async fn start(head: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = format!("{head}\r\ncontent-length: 2\r\n\r\n{{}}");
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let bytes = stream.read(&mut request).await.expect("a request");
                assert!(request[..bytes].ends_with(b"\r\n\r\n"));
                stream.write_all(answer.as_bytes()).await.expect("a client");
                // The connection stays open until the client closes it.
                let _ = stream.read(&mut request).await;
            });
        }
    });
    address
}

/// Guards against the store, engines or services being understood to have answered when what arrived is no answer: the
/// call may have taken effect.
#[tokio::test]
async fn an_answer_with_an_odd_head_is_lost() {
    let client = HttpClient::new();
    for head in HEADS {
        let address = start(head).await;
        let got = client.get(address, "/call", TIMEOUT_MS).await;
        assert!(
            matches!(got, Err(SendError::AnswerLost(_))),
            "{head}: {got:?}"
        );
        let paced = client.get_paced(address, "/call", TIMEOUT_MS, PACE).await;
        let is_lost = matches!(paced, Err(PacedError::Send(SendError::AnswerLost(_))));
        assert!(is_lost, "{head}: {paced:?}");
    }
}
