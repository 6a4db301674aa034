//! Errors in a document report their line and column.

use bv_config::Inventory;

/// Name, document, line, column, part of the message.
const CASES: &[(&str, &str, usize, usize, &str)] = &[
    ("empty", "", 1, 1, "missing field"),
    ("syntax", "name = \"x\"\nzone =\n", 2, 7, ""),
    (
        "unknown field",
        "name = \"x\"\nsize = 3\n",
        2,
        1,
        "unknown field",
    ),
    (
        "unknown zone",
        "name = \"x\"\n[[service]]\nid = \"s\"\n[[server]]\nid = \"a\"\nservice = \"s\"\n\
         zone = \"nowhere\"\naddr = \"127.0.0.1:1\"\n",
        7,
        8,
        "nowhere is not in the inventory",
    ),
    (
        "columns count characters",
        "name = \"Ceļazīme\"\nzone = [{ region = \"ī\", id = \"a b\" }]\n",
        2,
        30,
        "availability zone id",
    ),
];

/// Guards against errors without the position of the faulty value.
#[test]
fn line_and_column() {
    for (name, text, line, column, message) in CASES {
        let err = Inventory::parse(text).unwrap_err();
        assert_eq!(err.position(), (*line, *column), "{name}: {err}");
        assert!(err.to_string().contains(message), "{name}: {err}");
    }
}
