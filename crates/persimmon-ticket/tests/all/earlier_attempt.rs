use persimmon_ticket::{
    accept::{self, EarlierAttempt},
    Ticket,
};

fn ticket(number: u64) -> Ticket {
    Ticket {
        number,
        shares: None,
        services: Vec::new(),
        batch_classes: Vec::new(),
        teams: Vec::new(),
        removals: Vec::new(),
    }
}

#[test]
fn earlier_attempt_unknown_once_later_tickets_are_folded() {
    let outcome = accept::earlier_attempt(&ticket(3), (67, "other"), [(68, "other")]);
    assert_eq!(outcome, EarlierAttempt::Unknown);
}

#[test]
fn earlier_attempt_found_among_recent_tickets() {
    let digest = accept::digest(&ticket(3));
    let recent = [(2, "other"), (3, digest.as_str()), (4, "other")];
    let outcome = accept::earlier_attempt(&ticket(3), (1, "other"), recent);
    assert_eq!(outcome, EarlierAttempt::Accepted);
}

#[test]
fn earlier_attempt_found_as_the_newest_folded_ticket() {
    let digest = accept::digest(&ticket(3));
    let outcome = accept::earlier_attempt(&ticket(3), (3, &digest), [(4, "other")]);
    assert_eq!(outcome, EarlierAttempt::Accepted);
}

#[test]
fn earlier_attempt_not_accepted_if_another_has_its_number() {
    let outcome = accept::earlier_attempt(&ticket(3), (1, "other"), [(3, "other")]);
    assert_eq!(outcome, EarlierAttempt::NotAccepted);
    let outcome = accept::earlier_attempt(&ticket(3), (3, "other"), []);
    assert_eq!(outcome, EarlierAttempt::NotAccepted);
    let outcome = accept::earlier_attempt(&ticket(3), (0, ""), []);
    assert_eq!(outcome, EarlierAttempt::NotAccepted);
}
