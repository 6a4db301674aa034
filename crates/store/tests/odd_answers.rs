//! Answers of the table service with odd rows.

use std::time::Duration;

use bv_store::{HttpTable, StoreError, Table, TableSettings};
use bv_types::Millis;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Reads the row `config` from a service that gives this answer.
async fn read(answer: &str) -> Result<Option<u64>, StoreError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
        answer.len()
    );
    let text = head + answer;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        let _ = stream.write_all(text.as_bytes()).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    });
    let table = HttpTable::new(TableSettings {
        addr,
        table: "t".into(),
        key: String::new(),
        timeout: Millis(2_000),
        bind_ip: None,
    });
    let row = table.get("config").await?;
    Ok(row.map(|row| row.version.0))
}

fn item(key: &str, version: &str, extra: &str) -> String {
    let row = format!(r#""k":{{"S":"{key}"}},"ver":{{"N":"{version}"}},"body":{{"S":"x"}}"#);
    format!(r#"{{"Item":{{{row}{extra}}}}}"#)
}

/// Guards against an unreadable row that counts as missing, and against a version without successor.
#[tokio::test]
async fn odd_rows_are_not_missing() {
    assert_eq!(read("{}").await.unwrap(), None);
    assert_eq!(read(&item("config", "7", "")).await.unwrap(), Some(7));
    let nested = format!(r#","more":{}{}"#, "[".repeat(50_000), "]".repeat(50_000));
    let odd = [
        item("config", "7", &nested),
        item("config", "7", r#","more":1e400"#),
        item("config", "18446744073709551615", ""),
        item("config", "18446744073709551616", ""),
        item("config", "-1", ""),
        item("another", "7", ""),
        r#"{"Item":null}"#.to_owned(),
        r#"{"Item":{"k":7}}"#.to_owned(),
        "null".to_owned(),
        "\0".to_owned(),
        String::new(),
    ];
    for answer in odd {
        let result = read(&answer).await;
        assert!(result.is_err(), "{answer:.200} is read as {result:?}");
    }
}
