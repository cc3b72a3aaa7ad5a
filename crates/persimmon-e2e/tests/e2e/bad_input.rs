use crate::harness::{client, run, wait_for, Cluster, Options, Process, TOKEN};

fn stderr(output: &std::process::Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn settings_all_faults_together() {
    let args = [
        "--check-settings",
        "--store",
        "nowhere",
        "--lease-term-ms",
        "1",
    ];
    let variables = [
        ("PERSIMMONSHIFT_SHARD_COUNT", "0"),
        ("PERSIMMONSHIFT_TOKEN", "short"),
    ];
    let output = run("persimmonshiftd", &args, &variables);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    let faults = [
        "--store (PERSIMMONSHIFT_STORE): \"nowhere\" is not IP:PORT",
        "--lease-term-ms (PERSIMMONSHIFT_LEASE_TERM_MS): \"1\" is not a whole number from 500",
        "--shard-count (PERSIMMONSHIFT_SHARD_COUNT): \"0\" is not a whole number from 1 to 4096",
        "--member-id (PERSIMMONSHIFT_MEMBER_ID): missing",
        "--token (PERSIMMONSHIFT_TOKEN): \"(secret)\" is not 16 characters or more",
    ];
    for fault in faults {
        assert!(text.contains(fault), "{fault} is not in\n{text}");
    }
    assert!(!text.contains("short"), "a secret was printed:\n{text}");
}

#[test]
fn settings_inconsistent() {
    let dir = std::env::temp_dir().join(format!("persimmon-keys-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("create the temporary directory");
    let out = dir.to_str().expect("UTF-8");
    assert!(run(
        "persimmonshift",
        &["keys", "create", "--out", out, "--member", "d0"],
        &[]
    )
    .status
    .success());
    let file = |name: &str| dir.join(name).to_str().expect("UTF-8").to_owned();
    let (authorities, certificate, key) = (file("authority.pem"), file("d0.pem"), file("d0.key"));
    let variables = [
        ("PERSIMMONSHIFT_MEMBER_ID", "d0"),
        ("PERSIMMONSHIFT_DATA_CENTRE", "dc1"),
        ("PERSIMMONSHIFT_STORE", "127.0.0.1:1"),
        ("PERSIMMONSHIFT_INSTANCES", "127.0.0.1:2"),
        ("PERSIMMONSHIFT_TOKEN", TOKEN),
        ("PERSIMMONSHIFT_MESH_AUTHORITIES", &authorities),
        ("PERSIMMONSHIFT_MESH_CERTIFICATE", &certificate),
        ("PERSIMMONSHIFT_MESH_PRIVATE_KEY", &key),
    ];
    let valid = run("persimmonshiftd", &["--check-settings"], &variables);
    assert!(valid.status.success(), "{}", stderr(&valid));
    let args = [
        "--check-settings",
        "--sync-interval-ms",
        "6000",
        "--store-timeout-ms",
        "2000",
    ];
    let output = run("persimmonshiftd", &args, &variables);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert!(
        text.contains("\"6000\" is not at most half of --lease-term-ms"),
        "{text}"
    );
    assert!(
        text.contains("\"2000\" is not less than --session-ttl-ms"),
        "{text}"
    );
    std::fs::remove_dir_all(&dir).expect("remove the temporary directory");
}

#[test]
fn settings_unknown_flag() {
    let output = run("persimmonshiftd", &["--no-such-flag"], &[]);
    assert_ne!(output.status.code(), Some(0));
    assert!(stderr(&output).contains("--no-such-flag"));
}

#[test]
fn ticket_offline_checks() {
    let dir = std::env::temp_dir().join(format!("persimmon-bad-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("create the temporary directory");
    let cases = [
        ("number = 0", "number: must be at least 1"),
        ("number = 1\nspeed = 3", "unknown field `speed`"),
        (
            "number = 1\n[shares]\nlatency_critical_percent = 80\nbatch_percent = 30",
            "shares: must",
        ),
        (
            "number = 1\n[[remove]]\nkind = \"rack\"\nname = \"x\"",
            "remove[0].kind: must be",
        ),
    ];
    for (number, (text, fault)) in cases.iter().enumerate() {
        let path = dir.join(format!("{number}.toml"));
        std::fs::write(&path, text).expect("write the file");
        let path = path.to_str().expect("UTF-8");
        let output = run(
            "persimmonshift",
            &["ticket", "check", "--offline", path],
            &[],
        );
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(
            stderr(&output).contains(fault),
            "{fault} is not in {}",
            stderr(&output)
        );
    }
    std::fs::remove_dir_all(&dir).expect("remove the temporary directory");
}

#[test]
fn examples_are_valid() {
    for name in ["foundation", "utility"] {
        let path = format!("{}/../../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"));
        let output = run(
            "persimmonshift",
            &["ticket", "check", "--offline", &path],
            &[],
        );
        assert!(output.status.success(), "{}", stderr(&output));
    }
}

#[test]
fn calls_refused_with_reasons() {
    let cluster = Cluster::start_ready(&Options {
        daemons: 1,
        workers: 1,
        ..Options::default()
    });
    let daemon = &cluster.daemons[0];
    let ticket = cluster.dir.join("unknown.toml");
    let text = "number = 2\n[[remove]]\nkind = \"service\"\nname = \"nobody\"\n";
    std::fs::write(&ticket, text).expect("write the file");
    let (code, _, err) = daemon.run_tool(&["ticket", "apply", ticket.to_str().expect("UTF-8")]);
    assert_eq!(code, 1);
    assert!(err.contains("unknown service \"nobody\""), "{err}");
    assert_eq!(
        daemon.tool_json(&["status"])["config_number"],
        1,
        "the ticket was partly applied"
    );

    let url = format!("http://{}/svc/booking/book", daemon.api);
    let answer = client()
        .post(url)
        .body("x".repeat(5000))
        .send()
        .expect("the daemon responds");
    assert_eq!(answer.status(), 413);
    assert_eq!(answer.headers()["x-persimmon-ran"], "not-run");

    let url = format!("http://{}/svc/nothing/at-all", daemon.api);
    let answer = client().get(url).send().expect("the daemon responds");
    assert_eq!(answer.status(), 404);
    let body: serde_json::Value = answer.json().expect("valid JSON");
    assert_eq!(body["code"], "unknown-service");

    for token in ["", "wrong-token-of-some-length"] {
        let url = format!("http://{}/v1/status", daemon.api);
        let answer = client()
            .get(url)
            .bearer_auth(token)
            .send()
            .expect("the daemon responds");
        assert_eq!(answer.status(), 401);
    }
    let args = [
        "job",
        "submit",
        "--class",
        "huge",
        "--key",
        "k",
        "--due-in-s",
        "60",
    ];
    let (code, _, err) = daemon.run_tool(&args);
    assert_eq!(code, 1);
    assert!(
        err.contains("can never run") && err.contains("not-run"),
        "{err}"
    );
}

#[test]
fn start_without_store() {
    let cluster = Cluster::start(&Options {
        daemons: 1,
        workers: 0,
        ..Options::default()
    });
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind an ephemeral port");
    let address = listener
        .local_addr()
        .expect("the local address")
        .to_string();
    drop(listener);
    let file = |name: &str| cluster.dir.join(name).to_str().expect("UTF-8").to_owned();
    let settings = [
        ("MEMBER_ID", "isolated".to_owned()),
        ("DATA_CENTRE", "dc1".to_owned()),
        ("TOKEN", TOKEN.to_owned()),
        ("STORE", address),
        ("INSTANCES", cluster.instances.clone()),
        ("MESH_AUTHORITIES", file("authority.pem")),
        ("MESH_CERTIFICATE", file("d0.pem")),
        ("MESH_PRIVATE_KEY", file("d0.key")),
    ];
    let settings = settings.map(|(name, value)| (format!("PERSIMMONSHIFT_{name}"), value));
    let daemon = Process::start("persimmonshiftd", &[], &settings);
    let api = daemon.address("api");
    let answer = wait_for("an answer", || {
        client().get(format!("http://{api}/readyz")).send().ok()
    });
    assert_eq!(answer.status(), 503);
    let body: serde_json::Value = answer.json().expect("valid JSON");
    assert!(body["reason"]
        .as_str()
        .expect("a reason")
        .contains("no configuration"));
    let answer = client()
        .get(format!("http://{api}/svc/booking/"))
        .send()
        .expect("the daemon responds");
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.headers()["x-persimmon-ran"], "not-run");
}
