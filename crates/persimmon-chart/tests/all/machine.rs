use persimmon_chart::{labels, Machine};

labels! {
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    enum State { Shut = "shut", Open = "open" }
}
labels! {
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    enum Event { Push = "push" }
}

const CHART: &str = "name = \"door\"\ninitial = \"shut\"\nstates = [\"shut\", \"open\"]\n\n\
                    [[transition]]\nfrom = \"shut\"\non = \"push\"\nto = \"open\"\n";

#[test]
fn machine_follows_transitions() {
    let machine = Machine::<State, Event>::parse("door.toml", CHART).expect("a valid chart");
    assert_eq!(machine.initial(), State::Shut);
    assert_eq!(machine.step(State::Shut, Event::Push), Ok(State::Open));
    let error = machine
        .step(State::Open, Event::Push)
        .expect_err("no transition");
    assert_eq!(error.to_string(), "chart door: no way out of open on push");
}

#[test]
fn machine_rejects_unknown_event() {
    let text = CHART.replace("push", "kick");
    let error = Machine::<State, Event>::parse("door.toml", &text).expect_err("an invalid chart");
    assert_eq!(
        (error.line, error.reason.as_str()),
        (6, "the code has no event \"kick\"")
    );
}

#[test]
fn machine_rejects_missing_state() {
    let text = "name = \"d\"\ninitial = \"shut\"\nstates = [\"shut\"]\n\n[[transition]]\n\
                from = \"shut\"\non = \"push\"\nto = \"shut\"\n";
    let error = Machine::<State, Event>::parse("door.toml", text).expect_err("an invalid chart");
    assert_eq!(error.reason, "state \"open\" of the code is missing");
}
