use super::{PageCache, RenderedPage, MAX_FRESH_PER_S};

/// Clients that request a long page at full speed must not make the mixer render it all the time.
#[test]
fn a_page_beyond_the_first_of_a_second_is_used_again_for_a_multiple_of_its_rendering_time() {
    let mut cache = PageCache::default();
    let page = RenderedPage::Endpoints;
    for _ in 0..MAX_FRESH_PER_S {
        assert_eq!(cache.get(10.0, page), None);
        cache.put(10.0, 10.01, page, "text".into());
    }
    assert_eq!(cache.get(10.2, page).as_deref(), Some("text"));
    assert_eq!(cache.get(10.2, RenderedPage::Metrics), None);
    assert_eq!(cache.get(10.22, page), None);
    cache.put(8.0, 10.3, page, "slow".into());
    assert_eq!(cache.get(10.9, page).as_deref(), Some("slow"));
    assert_eq!(cache.get(11.0, page), None, "a new second");
}
