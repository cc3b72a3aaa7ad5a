use super::OwnedGroup;
use crate::{keys, platform::Platform};
use std::{rc::Rc, time::Duration};

/// Interval at which the learned estimates are saved. They change slowly; at worst, the changes
/// since the last save are lost with the owner.
const SAVE_INTERVAL: Duration = Duration::from_secs(3);

impl<P: Platform> OwnedGroup<P> {
    /// Loads the estimates learned by earlier owners. If they can't be read, the group is served
    /// without them.
    pub(super) async fn load_learned(&self) {
        let item = match self.shared.platform.get(&keys::learned(self.id)).await {
            Ok(item) => item,
            Err(err) => {
                log::info!("event=learned.read fault=\"{err}\"");
                return;
            }
        };
        let Some(item) = item else {
            return;
        };
        log::info!(
            "event=learned.read group={} bytes={}",
            self.id.0,
            item.value.len()
        );
        match postcard::from_bytes(&item.value) {
            Ok(learned) => self.engine.borrow_mut().restore_learned(learned),
            Err(err) => log::error!("event=learned.invalid key={} fault=\"{err}\"", item.key),
        }
    }

    /// Saves the learned estimates periodically. Never returns.
    pub(super) async fn save_learned(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SAVE_INTERVAL).await;
            let learned = self.engine.borrow().learned();
            // A failed write is made up for by the next one.
            self.write_best_effort("learned", keys::learned(self.id), &learned)
                .await;
        }
    }
}
