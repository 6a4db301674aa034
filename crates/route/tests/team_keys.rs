//! Guards against requests that are taken for those of another team or of none, and against keys that
//! stand in debug output.

use bv_route::{
    Credential, KeyDigest, KeyError, Kind, Limits, QuotaUnit, Route, RouteTable, Team, Teams,
    TeamsError,
};
use bv_types::{Millis, Tokens, Version};

fn team(name: &str, keys: &[&str]) -> Team {
    Team {
        id: name.parse().unwrap(),
        priority: None,
        quota: None,
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
    }
}

fn route(is_public: bool) -> Route {
    Route {
        name: "r".into(),
        host: "a.example".into(),
        path_prefix: "/".into(),
        kind: Kind::Idempotent,
        timeout: Millis(600),
        objective: Millis(120),
        max_attempts: 1,
        priority: 1,
        targets: Vec::new(),
        event_gap: None,
        uses_model: false,
        is_public,
    }
}

fn table(teams: Option<Vec<Team>>) -> RouteTable {
    let table = RouteTable::new(
        Version(1),
        vec![route(false)],
        Vec::new(),
        Limits::default(),
    );
    match teams {
        Some(teams) => table.with_teams(Teams::new(teams).unwrap()),
        None => table,
    }
}

/// The name of the team that a table finds.
fn identify(
    table: &RouteTable,
    is_public: bool,
    credential: Credential,
) -> Result<Option<String>, KeyError> {
    let found = table.identify(&route(is_public), credential)?;
    Ok(found.map(|team| team.id.to_string()))
}

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of(text))
}

#[test]
fn each_key_names_its_team() {
    let table = table(Some(vec![
        team("north", &["k-1", "k-2", "k-2"]),
        team("south", &["k-3"]),
        team("empty", &[]),
    ]));
    for (text, name) in [("k-1", "north"), ("k-2", "north"), ("k-3", "south")] {
        for is_public in [false, true] {
            let found = identify(&table, is_public, key(text));
            assert_eq!(found, Ok(Some(name.to_owned())), "{text}");
        }
    }
    let empty = table.teams().unwrap().by_id(&"empty".parse().unwrap());
    assert!(empty.is_some_and(|team| team.keys.is_empty()));
}

#[test]
fn other_credentials_name_none() {
    let table = table(Some(vec![team("north", &["k-1"])]));
    for (credential, error) in [
        (Credential::Absent, KeyError::Absent),
        (Credential::Malformed, KeyError::Malformed),
        (key("k-2"), KeyError::Unknown),
        (key("K-1"), KeyError::Unknown),
        (key(""), KeyError::Unknown),
    ] {
        assert_eq!(identify(&table, false, credential), Err(error));
        assert_eq!(identify(&table, true, credential), Ok(None));
    }
}

/// Guards against a list of no teams that lets every caller in.
#[test]
fn no_teams_and_an_empty_list() {
    for credential in [Credential::Absent, Credential::Malformed, key("k-1")] {
        assert_eq!(identify(&table(None), false, credential), Ok(None));
        assert!(identify(&table(Some(Vec::new())), false, credential).is_err());
    }
}

/// Guards against a change of keys that lets a removed key in or moves it to no team.
#[test]
fn changed_keys() {
    let before = table(Some(vec![team("north", &["k-1"]), team("south", &[])]));
    let after = table(Some(vec![team("north", &[]), team("south", &["k-1"])]));
    let north = Ok(Some("north".to_owned()));
    assert_eq!(identify(&before, false, key("k-1")), north);
    let south = Ok(Some("south".to_owned()));
    assert_eq!(identify(&after, false, key("k-1")), south);
}

#[test]
fn ambiguous_teams() {
    let shared = Teams::new(vec![
        team("north", &["k-1"]),
        team("south", &["k-2", "k-1"]),
    ]);
    let expected = TeamsError::SharedKey("north".parse().unwrap(), "south".parse().unwrap());
    assert_eq!(shared, Err(expected));
    let twice = Teams::new(vec![team("north", &["k-1"]), team("north", &["k-2"])]);
    let expected = TeamsError::DuplicateId("north".parse().unwrap());
    assert_eq!(twice, Err(expected));
}

#[test]
fn debug_output_hides_keys() {
    let table = table(Some(vec![team("north", &["secret-1"])]));
    let text = format!("{table:?} {:?}", key("secret-1"));
    let hex = KeyDigest::of("secret-1").to_hex();
    assert!(!text.contains("secret-1") && !text.contains(&hex), "{text}");
    // Bytes of the digest as numbers.
    assert!(text.contains("KeyDigest(..)"), "{text}");
}

#[test]
fn digests_as_text() {
    let digest = KeyDigest::of("k-1");
    assert_eq!(digest.to_hex().parse(), Ok(digest));
    let hex = digest.to_hex();
    for text in [
        "",
        "k-1",
        &hex[1..],
        &format!("{hex}0"),
        &hex.replace(&hex[..1], "é"),
    ] {
        assert!(text.parse::<KeyDigest>().is_err(), "{text}");
    }
}

#[test]
fn costs() {
    let tokens = QuotaUnit::Tokens { plain: Tokens(40) };
    assert_eq!(tokens.cost(Some(Tokens(3_200))), 3_200);
    assert_eq!(tokens.cost(None), 40);
    assert_eq!(QuotaUnit::Requests.cost(Some(Tokens(3_200))), 1);
}
