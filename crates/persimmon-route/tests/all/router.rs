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
    let mut router = Router::new(Options::default()).expect("a valid chart");
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
        .find(|endpoint| endpoint.id == id)
        .expect("an endpoint")
        .state
}

#[test]
fn router_sends_one_request_until_the_first_answer() {
    let (mut router, now) = (router(&["a"]), Instant::now());
    let Decision::Send(key) = router.route(request(1, now), now) else {
        panic!("not sent")
    };
    assert_eq!(router.route(request(2, now), now), Decision::Wait);
    router.finish(&request(1, now), key, Outcome::Answered, MS, now);
    assert_eq!(state(&router, "a"), EndpointState::Serving);
    let decisions = router.poll(now);
    assert_eq!(decisions, [(RequestId(2), Decision::Send(key))]);
    assert!(matches!(
        router.route(request(3, now), now),
        Decision::Send(_)
    ));
}

#[test]
fn router_refuses_without_endpoints() {
    let (mut router, now) = (router(&[]), Instant::now());
    let decision = router.route(request(1, now), now);
    assert_eq!(decision, Decision::Refuse(Refusal::NoEndpoint));
}

#[test]
fn router_reports_unknown_when_a_sent_request_is_refused() {
    let (mut router, now) = (router(&["a"]), Instant::now());
    // Twenty requests deposit enough budget for a retry.
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
fn router_list_does_not_override_an_announced_leave() {
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
fn router_probes_an_endpoint_that_announced_its_leave_and_stayed() {
    let (mut router, now) = (router(&["a"]), Instant::now());
    let Decision::Send(key) = router.route(request(1, now), now) else {
        panic!("not sent")
    };
    let leaving = Outcome::Refused { leaving: true };
    router.finish(&request(1, now), key, leaving, MS, now);
    let later = now + Duration::from_secs(30);
    router.set_endpoints(vec![spec("a", 4)]);
    assert_eq!(
        router.route(request(2, later), later),
        Decision::Send(key),
        "the endpoint is never used again"
    );
    router.finish(&request(2, later), key, leaving, MS, later);
    assert_eq!(state(&router, "a"), EndpointState::Leaving);
}

#[test]
fn router_keeps_away_from_an_endpoint_that_is_listed_as_leaving() {
    let (mut router, now) = (router(&["a"]), Instant::now());
    let Decision::Send(key) = router.route(request(1, now), now) else {
        panic!("not sent")
    };
    let refused = Outcome::Refused { leaving: true };
    router.finish(&request(1, now), key, refused, MS, now);
    router.set_endpoints(vec![EndpointSpec {
        leaving: true,
        ..spec("a", 4)
    }]);
    let later = now + Duration::from_secs(3_600);
    let decision = router.route(request(2, later), later);
    assert_eq!(decision, Decision::Refuse(Refusal::NoEndpoint));
}

#[test]
fn router_refuses_queued_requests_at_once_when_no_endpoint_is_left() {
    let (mut router, now) = (router(&["a"]), Instant::now());
    assert!(matches!(
        router.route(request(1, now), now),
        Decision::Send(_)
    ));
    assert_eq!(router.route(request(2, now), now), Decision::Wait);
    router.set_endpoints(Vec::new());
    assert_eq!(
        router.poll(now),
        [(RequestId(2), Decision::Refuse(Refusal::NoEndpoint))]
    );
}

#[test]
fn router_probes_after_an_ejection() {
    let (mut router, now) = (router(&["a"]), Instant::now());
    for number in 0..1 {
        let Decision::Send(key) = router.route(request(number, now), now) else {
            panic!()
        };
        router.finish(&request(number, now), key, Outcome::NotConnected, MS, now);
    }
    assert_eq!(state(&router, "a"), EndpointState::Ejected);
    assert_eq!(router.route(request(7, now), now), Decision::Wait);
    let expired_at = now + Options::default().ejection_initial;
    let decisions = router.poll(expired_at);
    assert!(
        matches!(decisions[..], [(RequestId(7), Decision::Send(_))]),
        "{decisions:?}"
    );
}

#[test]
fn router_limits_the_ejection_of_busy_endpoints() {
    let ids: Vec<String> = (0..10).map(|number| format!("e{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let (mut router, mut now) = (router(&ids), Instant::now());
    for number in 0..500 {
        now += MS;
        if let Decision::Send(key) = router.route(request(number, now), now) {
            router.finish(&request(number, now), key, Outcome::TimedOut, MS * 50, now);
        }
        let ejected = router
            .endpoints()
            .filter(|endpoint| endpoint.state == EndpointState::Ejected)
            .count();
        assert!(
            ejected <= 3,
            "{ejected} of 10 endpoints ejected for being busy"
        );
    }
}

#[test]
fn router_queues_in_deadline_order() {
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
    let decisions = router.poll(now);
    assert_eq!(decisions, [(RequestId(3), Decision::Send(key))]);
}

#[test]
fn router_chart_matches_the_enums() {
    // Parsing fails, with the line, unless the chart file and the enums have the same states and
    // events.
    assert!(Router::new(Options::default()).is_ok());
}

/// Endpoints that fail fast always have free slots, which must not attract more requests to them.
#[test]
fn router_does_not_favour_endpoints_that_fail_fast() {
    let ids: Vec<String> = (0..10).map(|number| format!("e{number}")).collect();
    let options = Options {
        // Without ejections only the selection keeps requests away from failing endpoints.
        ejected_max_percent: 0,
        ..Options::default()
    };
    let mut router = Router::new(options).expect("a valid chart");
    router.set_endpoints(ids.iter().map(|id| spec(id, 4)).collect());
    let (mut now, mut failed) = (Instant::now(), 0);
    for number in 0..2_000 {
        now += MS;
        let request = request(number, now);
        let Decision::Send(key) = router.route(request, now) else {
            continue;
        };
        let is_failing = router.endpoint_id(key).is_some_and(|id| id < "e3");
        failed += u32::from(is_failing);
        let outcome = if is_failing {
            Outcome::Incomplete
        } else {
            Outcome::Answered
        };
        router.finish(&request, key, outcome, MS * 20, now);
    }
    // Selection without regard to failures would send them 600.
    assert!(
        failed < 300,
        "{failed} of 2000 requests were sent to endpoints that always fail"
    );
}

/// Each endpoint that it is sent to crashes and is replaced.
#[test]
fn router_does_not_send_a_request_that_breaks_off_to_endpoint_after_endpoint() {
    let (mut router, now) = (router(&["a"]), Instant::now());
    for number in 100..400 {
        let Decision::Send(key) = router.route(request(number, now), now) else {
            panic!("not sent")
        };
        router.finish(&request(number, now), key, Outcome::Answered, MS, now);
    }
    let mut attempts = 0;
    loop {
        let endpoint = format!("b{attempts}");
        router.set_endpoints(vec![spec(&endpoint, 4)]);
        let Decision::Send(key) = router.route(request(1, now), now) else {
            panic!("not sent")
        };
        attempts += 1;
        if router.finish(&request(1, now), key, Outcome::Incomplete, MS, now) == Verdict::Unknown {
            break;
        }
    }
    assert!(attempts <= 3, "{attempts} attempts");
}
