use persimmon_route::{
    Decision, EndpointSpec, EndpointState, Options, Outcome, Refusal, Request, RequestId, Router,
    Verdict,
};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

fn spec(id: &str, share: u32) -> EndpointSpec {
    EndpointSpec {
        id: id.into(),
        address: id.into(),
        same_data_centre: true,
        share,
        leaving: false,
    }
}

fn router(endpoints: &[&str]) -> Router {
    let mut router = Router::new(Options::default()).expect("a sound chart");
    router.set_endpoints(endpoints.iter().map(|id| spec(id, 4)).collect());
    router
}

fn request(number: u64, now: Instant) -> Request {
    let deadline = now + Duration::from_secs(1);
    Request {
        id: RequestId(number),
        deadline,
        idempotent: true,
    }
}

fn state(router: &Router, id: &str) -> EndpointState {
    router
        .endpoints()
        .find(|it| it.id == id)
        .expect("an endpoint")
        .state
}

#[test]
fn router_first_answer_before_full_share() {
    let (mut router, now) = (router(&["a"]), Instant::now());
    let Decision::Send(key) = router.route(request(1, now), now) else {
        panic!("not sent")
    };
    assert_eq!(router.route(request(2, now), now), Decision::Wait);
    router.finish(&request(1, now), key, Outcome::Answered, MS, now);
    assert_eq!(state(&router, "a"), EndpointState::Serving);
    let decided = router.poll(now);
    assert_eq!(decided, [(RequestId(2), Decision::Send(key))]);
    assert!(matches!(
        router.route(request(3, now), now),
        Decision::Send(_)
    ));
}

#[test]
fn router_no_endpoint() {
    let (mut router, now) = (router(&[]), Instant::now());
    let decision = router.route(request(1, now), now);
    assert_eq!(decision, Decision::Refuse(Refusal::NoEndpoint));
}

#[test]
fn router_refusal_after_a_sending_is_not_not_run() {
    let (mut router, now) = (router(&["a"]), Instant::now());
    // Earn a retry.
    for number in 10..30 {
        let Decision::Send(key) = router.route(request(number, now), now) else {
            panic!()
        };
        router.finish(&request(number, now), key, Outcome::Answered, MS, now);
    }
    let Decision::Send(key) = router.route(request(1, now), now) else {
        panic!("not sent")
    };
    let verdict = router.finish(&request(1, now), key, Outcome::Incomplete, MS, now);
    assert_eq!(verdict, Verdict::Retry);
    router.set_endpoints(Vec::new());
    let decision = router.route(request(1, now), now);
    assert_eq!(decision, Decision::FailUnknown(Refusal::NoEndpoint));
}

#[test]
fn router_leaving_by_its_own_word_outlasts_the_list() {
    let (mut router, now) = (router(&["a", "b"]), Instant::now());
    let Decision::Send(key) = router.route(request(1, now), now) else {
        panic!("not sent")
    };
    let id = router.endpoint_id(key).expect("an endpoint").to_owned();
    router.finish(
        &request(1, now),
        key,
        Outcome::Refused { leaving: true },
        MS,
        now,
    );
    router.set_endpoints(vec![spec("a", 4), spec("b", 4)]);
    assert_eq!(state(&router, &id), EndpointState::Leaving);
}

#[test]
fn router_ejects_and_probes() {
    let (mut router, now) = (router(&["a"]), Instant::now());
    for number in 0..1 {
        let Decision::Send(key) = router.route(request(number, now), now) else {
            panic!()
        };
        router.finish(&request(number, now), key, Outcome::NotConnected, MS, now);
    }
    assert_eq!(state(&router, "a"), EndpointState::Ejected);
    assert_eq!(router.route(request(7, now), now), Decision::Wait);
    let later = now + Options::default().ejection;
    let decided = router.poll(later);
    assert!(
        matches!(decided[..], [(RequestId(7), Decision::Send(_))]),
        "{decided:?}"
    );
}

#[test]
fn router_busy_pool_is_not_emptied() {
    let names: Vec<String> = (0..10).map(|number| format!("e{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (mut router, mut now) = (router(&names), Instant::now());
    for number in 0..500 {
        now += MS;
        if let Decision::Send(key) = router.route(request(number, now), now) {
            router.finish(&request(number, now), key, Outcome::TimedOut, MS * 50, now);
        }
        let ejected = router
            .endpoints()
            .filter(|it| it.state == EndpointState::Ejected)
            .count();
        assert!(ejected <= 3, "{ejected} of 10 ejected for being busy");
    }
}

#[test]
fn router_queue_in_deadline_order() {
    let (mut router, now) = (router(&["a"]), Instant::now());
    let Decision::Send(key) = router.route(request(1, now), now) else {
        panic!("not sent")
    };
    let urgent = Request {
        deadline: now + MS * 500,
        ..request(3, now)
    };
    assert_eq!(router.route(request(2, now), now), Decision::Wait);
    assert_eq!(router.route(urgent, now), Decision::Wait);
    router.finish(&request(1, now), key, Outcome::Abandoned, MS, now);
    let decided = router.poll(now);
    assert_eq!(decided, [(RequestId(3), Decision::Send(key))]);
}

#[test]
fn router_chart_refuses_nothing_it_needs() {
    // The chart file and the code name the same states; a broken file is told by line.
    assert!(Router::new(Options::default()).is_ok());
}

/// Endpoints that fail fast are always free, and must not draw requests by that.
#[test]
fn router_fast_failures_draw_no_requests() {
    let names: Vec<String> = (0..10).map(|number| format!("e{number}")).collect();
    let options = Options {
        // Nothing is ejected here, so that the choice alone is seen.
        ejected_max_percent: 0,
        ..Options::default()
    };
    let mut router = Router::new(options).expect("a sound chart");
    router.set_endpoints(names.iter().map(|id| spec(id, 4)).collect());
    let (mut now, mut failed) = (Instant::now(), 0);
    for number in 0..2_000 {
        now += MS;
        let wanted = request(number, now);
        let Decision::Send(key) = router.route(wanted, now) else {
            continue;
        };
        let bad = router.endpoint_id(key).is_some_and(|id| id < "e3");
        failed += u32::from(bad);
        let outcome = if bad {
            Outcome::Incomplete
        } else {
            Outcome::Answered
        };
        router.finish(&wanted, key, outcome, MS * 20, now);
    }
    // A blind choice would send 600 there.
    assert!(
        failed < 300,
        "{failed} of 2000 were sent to endpoints that always fail"
    );
}
