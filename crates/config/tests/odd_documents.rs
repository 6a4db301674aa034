//! Documents of another writer in the row of the configuration.

use bv_config::Inventory;

const DOCUMENT: &str = r#"name = "x"
[[zone]]
id = "z"
region = "r"
[[service]]
id = "s"
[[server]]
id = "a"
service = "s"
zone = "z"
addr = "127.0.0.1:8080"
"#;

/// Guards against a process that ends because of a deeply nested document.
#[test]
fn deep_nesting() {
    const DEPTH: usize = 50_000;
    let arrays = format!("x = {}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let tables = format!("x = {}1{}", "{a=".repeat(DEPTH), "}".repeat(DEPTH));
    let keys = format!("x{} = 1", ".a".repeat(DEPTH));
    let headers = format!("[x{}]", ".a".repeat(DEPTH));
    for odd in [arrays, tables, keys, headers] {
        for text in [format!("{odd}\n{DOCUMENT}"), format!("{DOCUMENT}{odd}\n")] {
            assert!(Inventory::parse(&text).is_err(), "{text:.60}");
        }
    }
}

/// Guards against a server at an address that no server can have.
#[test]
fn odd_addresses() {
    assert!(Inventory::parse(DOCUMENT).is_ok());
    for addr in [
        "127.0.0.1:99999",
        "127.0.0.1:0",
        "0.0.0.0:0",
        "0.0.0.0:8080",
        "[::]:8080",
        "224.0.0.1:8080",
        "255.255.255.255:8080",
    ] {
        let text = DOCUMENT.replace("127.0.0.1:8080", addr);
        let err = Inventory::parse(&text).expect_err(addr);
        assert_eq!(err.position().0, 11, "{err}");
    }
}

/// Guards against overflows that end the process: numbers are kept or refused.
#[test]
fn odd_numbers() {
    for number in [
        "18446744073709551616",
        "1e400",
        "-1",
        "nan",
        "inf",
        "9223372036854775807",
    ] {
        for field in [
            "zone_price_ms",
            "zone_delay_ms",
            "client_delay_ms",
            "shard_runners",
        ] {
            let text = format!("{field} = {number}\n{DOCUMENT}");
            let _ = Inventory::parse(&text);
        }
    }
}
