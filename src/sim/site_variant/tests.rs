//! Tests of the drawn site variants and of their effect on the settings.

use super::*;

#[test]
fn even_seeds_have_the_default_site_and_odd_seeds_vary() {
    let usual = SiteVariant::draw(0);
    assert!((0..100).step_by(2).all(|seed| SiteVariant::draw(seed) == usual));
    let all: Vec<SiteVariant> = (1..200).step_by(2).map(SiteVariant::draw).collect();
    let seen = |of: fn(&SiteVariant) -> bool| all.iter().filter(|c| of(c)).count();
    let counts = [
        seen(|c| c.silent_weights),
        seen(|c| c.no_retry_after),
        seen(|c| c.one_at_a_time),
        seen(|c| c.no_cancel),
        seen(|c| c.no_cache_status),
        seen(|c| c.cache_status_if_served),
        seen(|c| c.shared_fills),
        seen(|c| c.no_direct),
        seen(|c| c.two_attempts),
        seen(|c| c.keyed_writes),
    ];
    assert!(counts.iter().all(|n| (10..90).contains(n)), "{counts:?}");
}

#[test]
fn silent_weights_set_all_shares_to_one() {
    let (mut settings, mut hosts) = (json!({}), json!([{"share": 4.0}, {"share": 7.5}]));
    SiteVariant { silent_weights: true, ..SiteVariant::draw(0) }.apply(&mut settings, &mut hosts);
    assert_eq!(
        (settings["weights"].as_str(), hosts),
        (Some("silent"), json!([{"share": 1.0}, {"share": 1.0}]))
    );
}
