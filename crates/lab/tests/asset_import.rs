//! `burdockvale import`: an asset register becomes an inventory.

mod operator;

use std::path::PathBuf;

use bv_config::Inventory;
use operator::burdockvale;

const RULES: &str = "name = \"co\"\n[[pool]]\nid = \"drafting\"\nslots = 20\npieces = 60\n\
    prefill_tokens_per_s = 12000.0\ntoken_gap_ms = 20.0\nlink_bytes_per_s = 2.5e9\n\
    kv_bytes_per_token = 50000\neviction_ms = 800\n";
const REGISTER: &str = "kind,id,zone,region,service,pool,role,addr,team,requests_per_s,notes\n\
    zone,lot-north,,gauteng,,,,,,,\n\
    service,booking,,,,,,,,,\n\
    server,booking-1,lot-north,,booking,,,127.0.0.1:8200,,,\"rack 4, \"\"upper\"\"\"\n\
    runner,drafting-1,lot-north,,,drafting,prefill,127.0.0.1:8100,,,\n\
    team,gate,,,,,,,,12.5,\n\
    device, 10.0.0.1 ,,,,,,,gate,,\n";

struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("burdockvale-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        TempDir(dir)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards against entries that the import loses or changes.
#[tokio::test]
async fn register_becomes_inventory() {
    let dir = TempDir::new("import");
    let (rules, register) = (dir.write("rules.toml", RULES), dir.write("r.csv", REGISTER));
    let output = dir.write("inventory.toml", "");
    let args = ["import", &register, "--rules", &rules, "--output", &output];
    let run = burdockvale(&args, &[]).await;
    assert_eq!(run.exit_code, 0, "{run:?}");
    let inventory = Inventory::parse(&std::fs::read_to_string(&output).unwrap()).unwrap();
    assert_eq!(inventory.zones[0].region, "gauteng");
    assert_eq!(inventory.servers[0].id.as_str(), "booking-1");
    assert_eq!(inventory.runners[0].addr.to_string(), "127.0.0.1:8100");
    assert_eq!(inventory.teams[0].requests.unwrap().get(), 12.5);
    assert_eq!(inventory.devices[0].id, "10.0.0.1");
}

/// Guards against errors that do not name their line and column in the register.
#[tokio::test]
async fn errors_name_their_cell() {
    let dir = TempDir::new("faults");
    let rules = dir.write("rules.toml", RULES);
    let cases = [
        (
            "runner,drafting-1",
            "engine,drafting-1",
            5,
            1,
            "\"engine\" is not a kind",
        ),
        (
            "drafting,prefill",
            "drafting,encode",
            5,
            40,
            "\"encode\" is not a role",
        ),
        (
            "booking-1,lot-north",
            "booking-1,lot-nroth",
            4,
            18,
            "lot-nroth",
        ),
        (
            "127.0.0.1:8200",
            "booking:8200",
            4,
            39,
            "is not an IP address",
        ),
        (
            "gate,,\n",
            "gates,,\n",
            7,
            25,
            "gates is not in the inventory",
        ),
        ("12.5", "many", 6, 18, "\"many\" is not a number"),
        (
            "booking,,,127.0.0.1:8200",
            ",,,127.0.0.1:8200",
            4,
            1,
            "column \"service\"",
        ),
        ("service,booking,,,", "service,booking,,", 3, 1, "10 cells"),
        (
            "kind,id,zone",
            "kind,name,zone",
            1,
            1,
            "column \"id\" is missing",
        ),
        ("zone,region", "zone,zone", 1, 14, "named twice"),
        (
            "service,booking,",
            "service,\"two\nlines\",",
            3,
            9,
            "service id",
        ),
        (
            "drafting-1,",
            "booking-1,",
            4,
            8,
            "a runner has the same id",
        ),
    ];
    for (from, to, line, column, expected_text) in cases {
        assert!(REGISTER.contains(from), "{from}");
        let register = dir.write("register.csv", &REGISTER.replacen(from, to, 1));
        let args = ["import", &register, "--rules", &rules, "--json"];
        let run = burdockvale(&args, &[]).await;
        assert_eq!(run.exit_code, 3, "{to}: {run:?}");
        let err: serde_json::Value = serde_json::from_str(&run.stderr).unwrap();
        let err = &err["error"];
        assert_eq!(
            (&err["line"], &err["column"]),
            (&line.into(), &column.into()),
            "{to}: {err}"
        );
        assert!(
            err["message"].as_str().unwrap().contains(expected_text),
            "{to}: {err}"
        );
    }
}
