use super::{runner_list::LISTING_WATCH, OwnedGroup};
use crate::{
    platform::{Change, Platform},
    prefix_watch::{self, WatchEvent},
};
use std::rc::Rc;

impl<P: Platform> OwnedGroup<P> {
    /// Follows the operators' requests to evacuate data centres. Never returns.
    pub(super) async fn follow_evacuations(self: Rc<Self>) {
        let shared = Rc::clone(&self.shared);
        let prefix = shared.platform.evacuations_prefix().to_owned();
        prefix_watch::follow(&shared, &prefix, LISTING_WATCH, None, |event| {
            let now = shared.now();
            let mut engine = self.engine.borrow_mut();
            match event {
                WatchEvent::Changed(Change::Put(item)) => {
                    engine.begin_evacuation(&item.key[prefix.len()..], item.revision, now);
                }
                WatchEvent::Changed(Change::Removed { key, .. }) => {
                    engine.end_evacuation(&key[prefix.len()..], now);
                }
                WatchEvent::UpToDate { as_of } => engine.confirm_evacuations(as_of),
            }
            drop(engine);
            self.wake();
        })
        .await;
    }
}
