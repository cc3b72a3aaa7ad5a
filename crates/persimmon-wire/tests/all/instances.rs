use persimmon_wire::instances::{Instance, ReceivedList};

fn entry(id: &str, address: &str, cpu_millis: &str, more: &str) -> String {
    format!(
        r#"{{"id":"{id}","address":"{address}","data_centre":"d","rack":"r","state":"live",
            "role":"worker","capacity":{{"cpu_millis":{cpu_millis},"memory_mib":1}}{more}}}"#
    )
}

fn decode(entries: &[String]) -> Vec<Option<Instance>> {
    let text = format!(r#"{{"instances":[{}]}}"#, entries.join(","));
    let list: ReceivedList = serde_json::from_slice(text.as_bytes()).expect("a list");
    list.decode().map(Result::ok).collect()
}

#[test]
fn odd_entry_does_not_hide_the_other_instances() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd_entries = [
        "{}".to_owned(),
        "3".to_owned(),
        nested.clone(),
        entry("x", "10.0.0.1:80", "1e400", ""),
        entry("x", "10.0.0.1:80", "99999999999999999999999", ""),
        entry("x", "10.0.0.1:80", &nested, ""),
        entry("x", "10.0.0.1:80", "1", &format!(r#","more":{nested}"#)),
        entry("x", "10.0.0.1:65536", "1", ""),
        entry("x", "10.0.0.1", "1", ""),
    ];
    for odd in odd_entries {
        let sound = |id| entry(id, "10.0.0.1:80", "1000", "");
        let decoded = decode(&[sound("a"), odd.clone(), sound("b")]);
        let start = &odd[..odd.len().min(200)];
        let ids: Vec<_> = decoded.iter().flatten().map(|it| &it.id[..]).collect();
        assert_eq!(ids, ["a", "b"], "{start}");
        assert!(decoded[1].is_none(), "{start}");
    }
}
