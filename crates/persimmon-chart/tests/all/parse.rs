use persimmon_chart::parse;

const SOUND: &str = r#"name = "door"
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

fn fault(text: &str) -> (usize, String) {
    let error = parse("door.toml", text).expect_err("a fault");
    assert_eq!(error.chart, "door.toml");
    (error.line, error.reason)
}

#[test]
fn parse_sound() {
    let chart = parse("door.toml", SOUND).expect("a sound chart");
    assert_eq!(chart.initial, "shut");
    assert_eq!(chart.transitions.len(), 2);
    assert_eq!(chart.transitions[1].line, 12);
}

#[test]
fn parse_unknown_state() {
    let (line, reason) = fault(&SOUND.replace("to = \"open\"", "to = \"ajar\""));
    assert_eq!(
        (line, reason.as_str()),
        (9, "state \"ajar\" is not declared")
    );
}

#[test]
fn parse_way_out_of_terminal() {
    let text = SOUND.replace("from = \"open\"", "from = \"gone\"");
    assert_eq!(
        fault(&text).1,
        "state \"gone\" is terminal but has a way out"
    );
}

#[test]
fn parse_two_ways_out() {
    let text = SOUND.replace(
        "from = \"open\"\non = \"burn\"",
        "from = \"shut\"\non = \"push\"",
    );
    assert_eq!(
        fault(&text),
        (13, "state \"shut\" has two ways out on \"push\"".to_owned())
    );
}

#[test]
fn parse_state_never_entered() {
    let text = SOUND.replace("\"gone\"]\nterminal", "\"gone\", \"lost\"]\nterminal");
    assert_eq!(fault(&text).1, "state \"lost\" is never entered");
}

#[test]
fn parse_not_toml() {
    let (line, _) = fault(&SOUND.replace("initial = \"shut\"", "initial = shut\""));
    assert_eq!(line, 2);
}
