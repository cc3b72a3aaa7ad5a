use crate::harness::{control, wait_for, Cluster, Options};
use serde_json::json;

#[test]
fn ticket_race_one_wins() {
    let cluster = Cluster::start_ready(&Options {
        workers: 0,
        runners: 0,
        ..Options::default()
    });
    for number in 2..8 {
        let files = [
            cluster.write_ticket(number, 101),
            cluster.write_ticket(number, 102),
        ];
        let outcomes: Vec<(i32, String)> = std::thread::scope(|scope| {
            let cluster = &cluster;
            let tasks = files.iter().enumerate().map(|(index, file)| {
                scope.spawn(move || {
                    let (code, _, err) =
                        cluster.daemons[index].run_tool(&["ticket", "apply", file]);
                    (code, err)
                })
            });
            let tasks: Vec<_> = tasks.collect();
            tasks
                .into_iter()
                .map(|task| task.join().expect("the thread does not panic"))
                .collect()
        });
        let accepted = outcomes.iter().filter(|(code, _)| *code == 0).count();
        assert_eq!(accepted, 1, "ticket {number}: {outcomes:?}");
        let (_, error) = outcomes
            .iter()
            .find(|(code, _)| *code != 0)
            .expect("a rejected ticket");
        assert!(error.contains("another ticket has this number"), "{error}");
    }
    let numbers: Vec<_> = cluster
        .daemons
        .iter()
        .map(|it| it.tool_json(&["ticket", "list"])["in_force"].clone())
        .collect();
    assert!(
        numbers.iter().all(|it| *it == numbers[0]),
        "the daemons disagree: {numbers:?}"
    );
}

#[test]
fn ticket_lost_answer() {
    let cluster = Cluster::start_ready(&Options {
        workers: 0,
        runners: 0,
        ..Options::default()
    });
    let file = cluster.write_ticket(2, 7);
    control(&cluster.store, &json!({ "lose_answers": 3 }));
    wait_for("an accepted ticket", || {
        let (code, out, _) = cluster.daemons[1].run_tool(&["ticket", "apply", &file]);
        (code == 0 && out.contains("in force everywhere")).then_some(())
    });
    let (code, out, _) = cluster.daemons[2].run_tool(&["ticket", "apply", &file]);
    assert_eq!(code, 0);
    assert!(out.contains("it was before"), "{out}");
    let list = cluster.daemons[0].tool_json(&["ticket", "list"]);
    let count_of_ticket_2 = |list: &serde_json::Value| {
        let recent = list["recent"]
            .as_array()
            .expect("a list of tickets")
            .clone();
        recent
            .iter()
            .filter(|it| it["ticket"]["number"] == 2)
            .count()
    };
    assert_eq!(count_of_ticket_2(&list), 1, "{list}");
}

#[test]
fn ticket_stale_never_reverts() {
    let cluster = Cluster::start_ready(&Options {
        workers: 0,
        runners: 0,
        ..Options::default()
    });
    cluster.apply(5);
    let file = cluster.write_ticket(3, 9);
    let (code, _, err) = cluster.daemons[0].run_tool(&["ticket", "apply", &file]);
    assert_eq!(code, 1);
    assert!(err.contains("stale, the newest number is 5"), "{err}");
    for daemon in &cluster.daemons {
        assert_eq!(daemon.tool_json(&["status"])["config_number"], 5);
    }
}

/// Guards against requests served under a stale configuration by a daemon that is partitioned from
/// both the store and its peers.
#[test]
fn ticket_partitioned_daemon_reports_not_run() {
    let options = Options {
        daemons: 2,
        workers: 0,
        relays: true,
        ..Options::default()
    };
    let cluster = Cluster::start_ready(&options);
    let (first, second) = (&cluster.daemons[0], &cluster.daemons[1]);
    wait_for("a response", || {
        (second.request("GET", &[]).status == 200).then_some(())
    });
    second.set_store_cut(true);
    second.set_mesh_cut(true);
    first.set_mesh_cut(true);
    let response = wait_for("a rejected request", || {
        let response = second.request("GET", &[]);
        (response.status != 200).then_some(response)
    });
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.ran.as_deref(), Some("not-run"), "{response:?}");
    // The ticket is in force everywhere once the session of the unreachable member has expired.
    cluster.apply(2);
    assert_eq!(second.request("GET", &[]).status, 503);
    second.set_store_cut(false);
    second.set_mesh_cut(false);
    first.set_mesh_cut(false);
    wait_for("a response", || {
        (second.request("GET", &[]).status == 200).then_some(())
    });
    assert_eq!(second.tool_json(&["status"])["config_number"], 2);
}

/// Guards against tickets that do not propagate when every third datagram between daemons is lost.
#[test]
fn ticket_through_lossy_mesh() {
    let options = Options {
        relays: true,
        ..Options::default()
    };
    let cluster = Cluster::start_ready(&options);
    for daemon in &cluster.daemons {
        daemon.set_mesh_loss(3);
    }
    cluster.apply(2);
    for daemon in &cluster.daemons {
        assert_eq!(daemon.tool_json(&["status"])["config_number"], 2);
    }
    let id = cluster.daemons[1].submit("short", "lossy");
    cluster.daemons[2].wait_job(&id, "done");
    assert_eq!(cluster.runs().len(), 1);
}
