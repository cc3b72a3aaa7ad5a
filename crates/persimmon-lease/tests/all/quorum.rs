use persimmon_lease::Quorum;

#[test]
fn quorum_promises_and_releases_intersect() {
    assert_eq!(Quorum::of(0).promises_required(), 0);
    assert_eq!(Quorum::of(0).releases_required(), 0);
    for witnesses in 1..100 {
        let quorum = Quorum::of(witnesses);
        assert!(
            quorum.promises_required() + quorum.releases_required() > witnesses,
            "{witnesses}"
        );
        assert!(quorum.promises_required() <= witnesses && quorum.releases_required() <= witnesses);
        assert!(quorum.releases_required() >= 1, "{witnesses}");
    }
}
