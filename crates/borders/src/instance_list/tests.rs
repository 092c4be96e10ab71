//! Rows of the instance list that can't be read, among others.

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::{HttpInstanceList, InstanceList as _};

fn row(name: &str) -> Value {
    json!({"name": name, "kind": "engine", "zone": "zone-a", "address": "127.0.0.1:9", "state": "live"})
}

/// Serves one answer with `body`; returns what the client reads of it.
async fn read(body: &Value) -> Result<(Vec<String>, Vec<String>), String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let text = body.to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client");
        let mut request = [0; 4_096];
        let bytes = stream.read(&mut request).await.expect("a request");
        assert!(request[..bytes].starts_with(b"GET /instances "));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
        stream
            .write_all((head + &text).as_bytes())
            .await
            .expect("a client");
    });
    let list = HttpInstanceList::new(vec![address]).list().await;
    let list = list.map_err(|error| error.to_string())?;
    let names = list.instances.into_iter().map(|instance| instance.name);
    Ok((names.collect(), list.invalid_rows))
}

/// Guards against one odd row that makes the whole list unreadable, so that no change of any instance is followed.
#[tokio::test]
async fn an_odd_row_leaves_the_others_in_the_list() {
    let mut odd = vec![
        json!(null),
        json!(7),
        json!([]),
        json!({}),
        json!({"name": "a"}),
    ];
    let wrong = [
        ("address", "nowhere"),
        ("kind", "rack"),
        ("state", "asleep"),
    ];
    for (field, value) in wrong {
        let mut row = row("odd");
        row[field] = json!(value);
        odd.push(row);
    }
    for odd_row in odd {
        let body = json!([row("first"), odd_row, row("last")]);
        let (names, invalid_rows) = read(&body).await.expect("a list");
        assert_eq!(names, ["first", "last"], "{odd_row}");
        assert_eq!(invalid_rows.len(), 1, "{odd_row}: {invalid_rows:?}");
        assert!(invalid_rows[0].starts_with("row 1: "), "{invalid_rows:?}");
    }
    assert!(read(&json!({"rows": []})).await.is_err());
}
