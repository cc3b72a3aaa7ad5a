use persimmon_types::StepError;

#[test]
fn step_error_keeps_step_and_reason() {
    let parsed = "x".parse::<u8>().map_err(StepError::of("count"));
    let err = parsed.expect_err("not a number");
    assert_eq!(err.to_string(), "count: invalid digit found in string");
}
