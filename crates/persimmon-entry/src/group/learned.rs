use super::Group;
use crate::{keys, platform::Platform};
use std::{rc::Rc, time::Duration};

/// Between two writes of what was learned: it changes slowly, and is lost with its owner at worst.
const REMEMBER_EVERY: Duration = Duration::from_secs(3);

impl<P: Platform> Group<P> {
    /// Reads what earlier owners learned. A group is served without it too.
    pub(super) async fn recall(&self) {
        let item = match self.shared.platform.get(&keys::learned(self.id)).await {
            Ok(item) => item,
            Err(fault) => {
                log::info!("event=learned.read fault=\"{fault}\"");
                return;
            }
        };
        let Some(item) = item else {
            return;
        };
        match postcard::from_bytes(&item.value) {
            Ok(learned) => self.engine.borrow_mut().restore_learned(learned),
            Err(err) => log::error!("event=learned.broken key={} fault=\"{err}\"", item.key),
        }
    }

    /// Writes what was learned, for good.
    pub(super) async fn remember(self: Rc<Self>) {
        loop {
            tokio::time::sleep(REMEMBER_EVERY).await;
            let learned = self.engine.borrow().learned();
            // A write that fails is made up for by the next.
            self.note("learned", keys::learned(self.id), &learned).await;
        }
    }
}
