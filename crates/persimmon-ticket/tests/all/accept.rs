//! Several operators race over one record with compare-and-swap, with stale reads, repeats and
//! lost answers; the oracle is a plain list of accepted tickets.

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
    /// It writes what follows from the ticket and its reading; the answer may be lost.
    Write {
        operator: usize,
        number: u64,
        team: u8,
        value: u32,
        lost: bool,
    },
    /// It repeats its last ticket after reading anew.
    Repeat(usize),
}

/// The oracle: the accepted tickets, and the teams that they add up to.
#[derive(Debug, Clone, Default)]
struct Oracle {
    accepted: Vec<(u64, u8, u32)>,
    /// The number of accepted tickets at each operator's last reading.
    read: [usize; OPERATORS],
    last: [Option<(u64, u8, u32)>; OPERATORS],
}

impl Oracle {
    fn newest(&self) -> u64 {
        self.accepted.last().map_or(0, |it| it.0)
    }

    fn teams(&self) -> BTreeMap<String, u32> {
        self.accepted
            .iter()
            .map(|(_, team, value)| (format!("team-{team}"), *value))
            .collect()
    }

    fn write(&mut self, operator: usize, wanted: (u64, u8, u32)) {
        let current = self.read[operator] == self.accepted.len();
        if current && wanted.0 > self.newest() {
            self.accepted.push(wanted);
        }
        self.last[operator] = Some(wanted);
    }
}

impl ReferenceStateMachine for Oracle {
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
            write.prop_map(|(operator, number, team, value, lost)| Step::Write {
                operator,
                number: number.max(1),
                team,
                value,
                lost
            }),
            (0..OPERATORS).prop_map(Step::Repeat),
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
                lost,
            } => {
                state.write(operator, (number, team, value));
                if lost {
                    // The operator reads back and tries again what had no effect.
                    state.read[operator] = state.accepted.len();
                    state.write(operator, (number, team, value));
                }
            }
            Step::Repeat(operator) => {
                state.read[operator] = state.accepted.len();
                if let Some(last) = state.last[operator] {
                    state.write(operator, last);
                }
            }
        }
        state
    }
}

/// The record and each operator's copy of it.
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
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Record {
        Record::default()
    }

    fn apply(mut record: Record, oracle: &Oracle, step: Step) -> Record {
        match step {
            Step::Read(operator) => record.read(operator),
            Step::Write {
                operator,
                number,
                team,
                value,
                lost,
            } => {
                let outcome = record.write(operator, &ticket(number, team, value));
                if lost {
                    // The operator reads back; a ticket that took effect is then its own.
                    let landed = record.numbers.last() == Some(&number)
                        && outcome == Ok(Outcome::Accepted)
                        && oracle.accepted.last() == Some(&(number, team, value))
                        && record.config.digest() == accept::digest(&ticket(number, team, value));
                    record.read(operator);
                    let again = record.write(operator, &ticket(number, team, value));
                    let repeated = again == Ok(Outcome::Repeated);
                    assert!(!landed || repeated, "{outcome:?} then {again:?}");
                }
            }
            Step::Repeat(operator) => {
                record.read(operator);
                if let Some(last) = record.last[operator].clone() {
                    let _ = record.write(operator, &last);
                }
            }
        }
        record
    }

    fn check_invariants(record: &Record, oracle: &Oracle) {
        let wanted: Vec<u64> = oracle.accepted.iter().map(|it| it.0).collect();
        assert_eq!(record.numbers, wanted, "accepted in another order");
        assert!(wanted.windows(2).all(|pair| pair[0] < pair[1]), "reverted");
        let teams: BTreeMap<String, u32> = record
            .config
            .iter_teams()
            .map(|it| (it.name.clone(), it.quota.cpu_millis))
            .collect();
        assert_eq!(teams, oracle.teams());
    }
}

prop_state_machine! {
    #[test]
    fn accept_race(sequential 1..60 => Race);
}

#[test]
fn accept_half_applied_never() {
    let mut config = Config::default();
    config.accept(&ticket(1, 0, 5)).expect("accepted");
    let before = config.clone();
    let bad = persimmon_ticket::parse(
        "number = 2\n[[team]]\nname = \"team-0\"\nquota = { cpu_millis = 9, memory_mib = 1 }\n\
         [[remove]]\nkind = \"service\"\nname = \"nobody\"\n",
    );
    config
        .accept(&bad.expect("a sound ticket"))
        .expect_err("refused");
    assert_eq!(config, before);
}

#[test]
fn accept_class_without_team() {
    let text =
        "number = 1\n[[batch_class]]\nname = \"c\"\nteam = \"nobody\"\nsize = { cpu_millis = \
                1, memory_mib = 1 }\nrun_time_ms = 1\nrerun = \"safe\"\nattempts_max = 1\n";
    let ticket = persimmon_ticket::parse(text).expect("a sound ticket");
    let error = Config::default().accept(&ticket).expect_err("refused");
    assert_eq!(error.to_string(), "ticket 1: unknown team \"nobody\"");
}

#[test]
fn accept_same_number_other_content() {
    let mut config = Config::default();
    let first = ticket(1, 0, 5);
    assert_eq!(config.accept(&first), Ok(Outcome::Accepted));
    assert_eq!(config.accept(&first), Ok(Outcome::Repeated));
    let winner_digest = accept::digest(&first);
    let lost = accept::Error::NumberTaken {
        number: 1,
        winner_digest,
    };
    assert_eq!(config.accept(&ticket(1, 0, 6)), Err(lost));
}
