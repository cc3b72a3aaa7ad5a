//! What the client concludes from the statuses of answers.

use persimmon_store::{CasOutcome, Effect, Error, HttpStore, LeaseId, Store};
use persimmon_wire::store::CasRequest;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    time::Duration,
};

/// Returns a store that answers the next call with `status` and `body`.
fn store_answering(status: u16, body: &'static str) -> HttpStore {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        answer(&stream, status, body);
    });
    let client = reqwest::Client::builder().no_proxy().build();
    let timeout = Duration::from_secs(10);
    HttpStore::new(client.expect("a client"), address, timeout)
}

fn answer(mut stream: &TcpStream, status: u16, body: &str) {
    let mut reader = BufReader::new(stream);
    let mut body_bytes = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a header");
        if line.trim().is_empty() {
            break;
        }
        if let Some(length) = line.to_lowercase().strip_prefix("content-length:") {
            body_bytes = length.trim().parse().expect("a length");
        }
    }
    let mut request_body = vec![0; body_bytes];
    reader.read_exact(&mut request_body).expect("a body");
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 {status} Status\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
    .expect("an answer");
}

fn cas(status: u16, body: &'static str) -> Result<CasOutcome, Error> {
    let request = CasRequest {
        key: "key".to_owned(),
        expected_revision: 1,
        value: Some("value".to_owned()),
        lease: None,
    };
    run(store_answering(status, body).cas(&request))
}

fn run<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(future)
}

#[test]
fn cas_rejected_as_malformed_has_no_effect() {
    for status in [400, 412, 413, 429, 503] {
        let outcome = cas(status, "rejected");
        assert!(
            matches!(&outcome, Err(err) if err.effect == Effect::None),
            "{status}: {outcome:?}"
        );
    }
}

#[test]
fn cas_of_a_failing_store_has_an_unknown_effect() {
    for (status, body) in [(500, "failed"), (502, "failed"), (504, "failed"), (200, "")] {
        let outcome = cas(status, body);
        assert!(
            matches!(&outcome, Err(err) if err.effect == Effect::Unknown),
            "{status}: {outcome:?}"
        );
    }
}

#[test]
fn cas_conflict_is_no_error() {
    let outcome = cas(409, r#"{"revision":7}"#);
    assert!(matches!(outcome, Ok(CasOutcome::Conflict { revision: 7 })));
    let outcome = cas(200, r#"{"revision":8}"#);
    assert!(matches!(outcome, Ok(CasOutcome::Written { revision: 8 })));
}

#[test]
fn renew_rejected_does_not_mean_that_the_lease_is_gone() {
    for status in [400, 408, 413, 429, 503] {
        let renewed = run(store_answering(status, "rejected").renew(LeaseId(1)));
        assert!(renewed.is_err(), "{status}: {renewed:?}");
    }
    let gone = run(store_answering(404, "no such lease").renew(LeaseId(1)));
    assert!(matches!(gone, Ok(false)), "{gone:?}");
    let renewed = run(store_answering(200, r#"{"lease":1}"#).renew(LeaseId(1)));
    assert!(matches!(renewed, Ok(true)), "{renewed:?}");
}

#[test]
fn revoke_rejected_is_an_error() {
    let revoked = run(store_answering(400, "rejected").revoke(LeaseId(1)));
    assert!(revoked.is_err(), "{revoked:?}");
    let gone = run(store_answering(404, "no such lease").revoke(LeaseId(1)));
    assert!(gone.is_ok(), "{gone:?}");
}

#[test]
fn get_of_an_absent_key_is_none() {
    let entry = run(store_answering(404, "absent").get("key"));
    assert!(matches!(entry, Ok(None)), "{entry:?}");
}
