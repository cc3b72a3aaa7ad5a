use persimmon_sched::{Policy, Queue};

fn queue(name: &str, host: &str, prefix: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        ..Queue::default()
    }
}

#[test]
fn find_longest_prefix() {
    let policy = Policy {
        queues: vec![
            queue("short", "a.example", "/jobs/"),
            queue("long", "a.example", "/jobs/urgent/"),
            queue("other", "b.example", "/jobs/"),
        ],
        ..Policy::default()
    };
    let name = |host, path| policy.find(host, path).map(|queue| queue.name.as_str());
    assert_eq!(name("a.example", "/jobs/1"), Some("short"));
    assert_eq!(name("A.example:8161", "/jobs/urgent/1"), Some("long"));
    assert_eq!(name("b.example", "/jobs/urgent/1"), Some("other"));
    assert_eq!(name("a.example", "/else/1"), None);
    assert_eq!(name("c.example", "/jobs/1"), None);
}
