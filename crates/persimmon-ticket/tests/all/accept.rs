//! Model-based test of concurrent operators that update one record by compare-and-swap, with stale
//! reads, resubmissions and lost responses. The reference model is a list of accepted tickets.

use persimmon_ticket::{
    accept::{self, Outcome},
    Config, Team, Ticket,
};
use persimmon_types::Size;
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::collections::BTreeMap;

const OPERATORS: usize = 3;

fn ticket(number: u64, team: u8, value: u32) -> Ticket {
    let quota = Size {
        cpu_millis: value,
        memory_mib: 1,
        accelerators: 0,
    };
    Ticket {
        number,
        shares: None,
        services: Vec::new(),
        batch_classes: Vec::new(),
        teams: vec![Team {
            name: format!("team-{team}"),
            quota,
        }],
        removals: Vec::new(),
    }
}

#[derive(Debug, Clone)]
enum Step {
    /// An operator reads the record.
    Read(usize),
    /// An operator applies a ticket to its copy and writes the result; the response may be lost.
    Write {
        operator: usize,
        number: u64,
        team: u8,
        value: u32,
        response_lost: bool,
    },
    /// An operator reads the record and resubmits its last ticket.
    Resubmit(usize),
}

/// The reference model: the accepted tickets and the resulting teams.
#[derive(Debug, Clone, Default)]
struct Model {
    accepted: Vec<(u64, u8, u32)>,
    /// The number of accepted tickets at each operator's last read.
    read: [usize; OPERATORS],
    last: [Option<(u64, u8, u32)>; OPERATORS],
}

impl Model {
    fn newest(&self) -> u64 {
        self.accepted.last().map_or(0, |accepted| accepted.0)
    }

    fn teams(&self) -> BTreeMap<String, u32> {
        self.accepted
            .iter()
            .map(|(_, team, value)| (format!("team-{team}"), *value))
            .collect()
    }

    fn write(&mut self, operator: usize, submitted: (u64, u8, u32)) {
        let read_is_current = self.read[operator] == self.accepted.len();
        if read_is_current && submitted.0 > self.newest() {
            self.accepted.push(submitted);
        }
        self.last[operator] = Some(submitted);
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let newest = state.newest();
        let write = (
            0..OPERATORS,
            newest.saturating_sub(2)..newest + 3,
            0..3u8,
            1..4u32,
            any::<bool>(),
        );
        prop_oneof![
            (0..OPERATORS).prop_map(Step::Read),
            write.prop_map(
                |(operator, number, team, value, response_lost)| Step::Write {
                    operator,
                    number: number.max(1),
                    team,
                    value,
                    response_lost
                }
            ),
            (0..OPERATORS).prop_map(Step::Resubmit),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match *step {
            Step::Read(operator) => state.read[operator] = state.accepted.len(),
            Step::Write {
                operator,
                number,
                team,
                value,
                response_lost,
            } => {
                state.write(operator, (number, team, value));
                if response_lost {
                    // After a lost response the operator reads the record and resubmits.
                    state.read[operator] = state.accepted.len();
                    state.write(operator, (number, team, value));
                }
            }
            Step::Resubmit(operator) => {
                state.read[operator] = state.accepted.len();
                if let Some(last) = state.last[operator] {
                    state.write(operator, last);
                }
            }
        }
        state
    }
}

/// The stored record and each operator's copy of it.
#[derive(Default)]
struct Record {
    revision: u64,
    config: Config,
    read: [(u64, Config); OPERATORS],
    last: [Option<Ticket>; OPERATORS],
    numbers: Vec<u64>,
}

impl Record {
    fn read(&mut self, operator: usize) {
        self.read[operator] = (self.revision, self.config.clone());
    }

    fn write(&mut self, operator: usize, ticket: &Ticket) -> Result<Outcome, accept::Error> {
        let (revision, mut config) = self.read[operator].clone();
        self.last[operator] = Some(ticket.clone());
        let outcome = config.accept(ticket)?;
        if outcome == Outcome::Accepted && revision == self.revision {
            self.revision += 1;
            self.config = config;
            self.numbers.push(ticket.number);
        }
        Ok(outcome)
    }
}

struct Race;

impl StateMachineTest for Race {
    type SystemUnderTest = Record;
    type Reference = Model;

    fn init_test(_: &Model) -> Record {
        Record::default()
    }

    fn apply(mut record: Record, model: &Model, step: Step) -> Record {
        match step {
            Step::Read(operator) => record.read(operator),
            Step::Write {
                operator,
                number,
                team,
                value,
                response_lost,
            } => {
                let outcome = record.write(operator, &ticket(number, team, value));
                if response_lost {
                    // After a lost response the operator reads the record and resubmits; a ticket
                    // that was committed must then be reported as repeated.
                    let committed = record.numbers.last() == Some(&number)
                        && outcome == Ok(Outcome::Accepted)
                        && model.accepted.last() == Some(&(number, team, value))
                        && record.config.digest() == accept::digest(&ticket(number, team, value));
                    record.read(operator);
                    let resubmitted = record.write(operator, &ticket(number, team, value));
                    let repeated = resubmitted == Ok(Outcome::Repeated);
                    assert!(!committed || repeated, "{outcome:?} then {resubmitted:?}");
                }
            }
            Step::Resubmit(operator) => {
                record.read(operator);
                if let Some(last) = record.last[operator].clone() {
                    let _ = record.write(operator, &last);
                }
            }
        }
        record
    }

    fn check_invariants(record: &Record, model: &Model) {
        let expected: Vec<u64> = model.accepted.iter().map(|accepted| accepted.0).collect();
        assert_eq!(
            record.numbers, expected,
            "accepted tickets differ from the model"
        );
        assert!(
            expected.windows(2).all(|pair| pair[0] < pair[1]),
            "accepted numbers must increase"
        );
        let teams: BTreeMap<String, u32> = record
            .config
            .iter_teams()
            .map(|team| (team.name.clone(), team.quota.cpu_millis))
            .collect();
        assert_eq!(teams, model.teams());
    }
}

prop_state_machine! {
    #[test]
    fn accept_race(sequential 1..60 => Race);
}

#[test]
fn accept_leaves_config_unchanged_on_rejection() {
    let mut config = Config::default();
    config.accept(&ticket(1, 0, 5)).expect("accepted");
    let before = config.clone();
    let bad = persimmon_ticket::parse(
        "number = 2\n[[team]]\nname = \"team-0\"\nquota = { cpu_millis = 9, memory_mib = 1 }\n\
         [[remove]]\nkind = \"service\"\nname = \"nobody\"\n",
    );
    config
        .accept(&bad.expect("a valid ticket"))
        .expect_err("rejected");
    assert_eq!(config, before);
}

#[test]
fn accept_rejects_class_of_unknown_team() {
    let text =
        "number = 1\n[[batch_class]]\nname = \"c\"\nteam = \"nobody\"\nsize = { cpu_millis = \
                1, memory_mib = 1 }\nrun_time_ms = 1\nrerun = \"safe\"\nattempts_max = 1\n";
    let ticket = persimmon_ticket::parse(text).expect("a valid ticket");
    let error = Config::default().accept(&ticket).expect_err("rejected");
    assert_eq!(error.to_string(), "ticket 1: unknown team \"nobody\"");
}

#[test]
fn accept_same_number_other_content() {
    let mut config = Config::default();
    let first = ticket(1, 0, 5);
    assert_eq!(config.accept(&first), Ok(Outcome::Accepted));
    assert_eq!(config.accept(&first), Ok(Outcome::Repeated));
    let winner_digest = accept::digest(&first);
    let number_taken = accept::Error::NumberTaken {
        number: 1,
        winner_digest,
    };
    assert_eq!(config.accept(&ticket(1, 0, 6)), Err(number_taken));
}
