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
        prefix_watch::follow(&shared, &prefix, LISTING_WATCH, None, |event| match event {
            WatchEvent::Changed(change) => self.handle_evacuation_change(&prefix, &change),
            WatchEvent::UpToDate { as_of } => self.engine.borrow_mut().confirm_evacuations(as_of),
        })
        .await;
    }

    fn handle_evacuation_change(&self, prefix: &str, change: &Change) {
        let now = self.shared.now();
        let mut engine = self.engine.borrow_mut();
        match change {
            Change::Put(item) => {
                engine.begin_evacuation(&item.key[prefix.len()..], item.revision, now);
            }
            Change::Removed { key, .. } => engine.end_evacuation(&key[prefix.len()..], now),
        }
        drop(engine);
        self.wake();
    }
}
