use super::{PageCache, RenderedPage};

/// Clients that request a long page at full speed must not make the mixer render it all the time.
#[test]
fn a_page_is_used_again_for_a_multiple_of_the_time_it_took_to_render() {
    let mut cache = PageCache::default();
    let page = RenderedPage::Endpoints;
    assert_eq!(cache.get(10.0, page), None);
    cache.put(10.0, 10.01, page, "text".into());
    assert_eq!(cache.get(10.2, page).as_deref(), Some("text"));
    assert_eq!(cache.get(10.2, RenderedPage::Metrics), None);
    assert_eq!(cache.get(10.22, page), None);
    cache.put(10.0, 20.0, page, "slow".into());
    assert_eq!(
        cache.get(21.1, page),
        None,
        "no page is older than a second"
    );
}
