use persimmon_chart::parse;

const VALID: &str = r#"name = "door"
initial = "shut"
states = ["shut", "open", "gone"]
terminal = ["gone"]

[[transition]]
from = "shut"
on = "push"
to = "open"

[[transition]]
from = "open"
on = "burn"
to = "gone"
"#;

fn parse_error(text: &str) -> (usize, String) {
    let error = parse("door.toml", text).expect_err("an invalid chart");
    assert_eq!(error.file, "door.toml");
    (error.line, error.reason)
}

#[test]
fn parse_valid_chart() {
    let chart = parse("door.toml", VALID).expect("a valid chart");
    assert_eq!(chart.initial, "shut");
    assert_eq!(chart.transitions.len(), 2);
    assert_eq!(chart.transitions[1].line, 12);
}

#[test]
fn parse_rejects_undeclared_state() {
    let (line, reason) = parse_error(&VALID.replace("to = \"open\"", "to = \"ajar\""));
    assert_eq!(
        (line, reason.as_str()),
        (9, "state \"ajar\" is not declared")
    );
}

#[test]
fn parse_rejects_transition_from_terminal_state() {
    let text = VALID.replace("from = \"open\"", "from = \"gone\"");
    assert_eq!(
        parse_error(&text).1,
        "state \"gone\" is terminal but has an outgoing transition"
    );
}

#[test]
fn parse_rejects_duplicate_transition() {
    let text = VALID.replace(
        "from = \"open\"\non = \"burn\"",
        "from = \"shut\"\non = \"push\"",
    );
    assert_eq!(
        parse_error(&text),
        (
            13,
            "state \"shut\" has two transitions on \"push\"".to_owned()
        )
    );
}

#[test]
fn parse_rejects_state_without_incoming_transition() {
    let text = VALID.replace("\"gone\"]\nterminal", "\"gone\", \"lost\"]\nterminal");
    assert_eq!(
        parse_error(&text).1,
        "state \"lost\" has no incoming transition"
    );
}

#[test]
fn parse_reports_line_of_toml_error() {
    let (line, _) = parse_error(&VALID.replace("initial = \"shut\"", "initial = shut\""));
    assert_eq!(line, 2);
}
