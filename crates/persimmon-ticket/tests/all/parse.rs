use persimmon_ticket::{parse, Ticket, TicketWire};
use proptest::prelude::*;

#[test]
fn parse_json_and_toml_to_same_ticket() {
    let toml = "number = 4\n[[team]]\nname = \"a\"\nquota = { cpu_millis = 1, memory_mib = 2 }\n";
    let json = r#"{"number":4,"team":[{"name":"a","quota":{"cpu_millis":1,"memory_mib":2}}]}"#;
    assert_eq!(parse(toml), parse(json));
}

#[test]
fn parse_rejects_too_large_ticket() {
    let text = format!("number = 1\n# {}", "x".repeat(200_000));
    let error = parse(&text).expect_err("too large");
    assert!(
        error.to_string().contains("more than the 131072 allowed"),
        "{error}"
    );
}

#[test]
fn parse_rejects_duplicate_object() {
    let team = "[[team]]\nname = \"a\"\nquota = { cpu_millis = 1, memory_mib = 2 }\n";
    let error = parse(&format!("number = 1\n{team}{team}")).expect_err("a duplicate object");
    assert_eq!(
        error.to_string(),
        "ticket: team \"a\": is touched twice by one ticket"
    );
}

proptest! {
    #[test]
    fn parse_never_panics(text in "\\PC{0,200}") {
        let _ = parse(&text);
    }

    #[test]
    fn wire_round_trip(number in 1u64.., cpu_millis in 1u32.., name in "[a-z]{1,8}") {
        let json = serde_json::json!({
            "number": number,
            "team": [{ "name": name, "quota": { "cpu_millis": cpu_millis, "memory_mib": 1 } }],
        });
        let ticket = parse(&json.to_string()).expect("a valid ticket");
        let round_tripped = Ticket::try_from(TicketWire::from(&ticket)).expect("the same ticket");
        prop_assert_eq!(ticket, round_tripped);
    }
}
