use persimmon_lease::Quorum;

#[test]
fn quorum_promises_meet_releases() {
    assert_eq!(Quorum::of(0).promises(), 0);
    assert_eq!(Quorum::of(0).releases(), 0);
    for witnesses in 1..100 {
        let quorum = Quorum::of(witnesses);
        assert!(
            quorum.promises() + quorum.releases() > witnesses,
            "{witnesses}"
        );
        assert!(quorum.promises() <= witnesses && quorum.releases() <= witnesses);
        assert!(quorum.releases() >= 1, "{witnesses}");
    }
}
