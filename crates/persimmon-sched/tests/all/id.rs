use persimmon_sched::{JobId, TaskId};

#[test]
fn parse_job() {
    assert_eq!(
        "5c0e7a21d94b36f8".parse(),
        Ok(JobId::new(0x5c0e_7a21_d94b_36f8))
    );
    for text in [
        "",
        "5c0e7a21d94b36f",
        "5C0E7A21D94B36F8",
        "+c0e7a21d94b36f8",
        "zz0e7a21d94b36f8",
    ] {
        assert!(text.parse::<JobId>().is_err(), "{text:?}");
    }
}

#[test]
fn parse_task() {
    let text = "5c0e7a21d94b36f8.3.1.17";
    let task: TaskId = text.parse().expect("a task");
    assert_eq!((task.occurrence, task.step, task.index), (3, 1, 17));
    assert_eq!(task.to_string(), text);
    for text in [
        "5c0e7a21d94b36f8.0.1",
        "5c0e7a21d94b36f8.0.1.2.3",
        "x.0.0.0",
    ] {
        assert!(text.parse::<TaskId>().is_err(), "{text:?}");
    }
}
