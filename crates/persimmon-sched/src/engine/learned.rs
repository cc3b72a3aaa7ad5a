use super::Engine;
use persimmon_interference::{ClassKey, ServiceKey};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// What an owner has learned, for the one after it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// What a batch image does to a serving image: the serving one, the batch one, the weight.
    pub pressure: Vec<(String, String, f64)>,
    /// The mean run time of each queue's tasks, in milliseconds.
    pub durations_ms: Vec<(String, f64)>,
}

impl Engine {
    /// What has been learned so far.
    pub fn learned(&self) -> Learned {
        let images = self.images.iter();
        let names: HashMap<_, _> = images.map(|(name, image)| (image.0, name)).collect();
        let name = |key: u32| names.get(&key).map(|name| (*name).clone());
        let weights = self.pressure.iter().filter_map(|(service, class, weight)| {
            Some((name(service.0)?, name(class.0)?, weight))
        });
        Learned {
            pressure: weights.collect(),
            durations_ms: self.durations.iter().collect(),
        }
    }

    /// Takes what an earlier owner learned.
    pub fn restore_learned(&mut self, learned: Learned) {
        for (service, class, weight) in learned.pressure {
            let (service, class) = (self.image(&service), self.image(&class));
            let (service, class) = (ServiceKey(service.0), ClassKey(class.0));
            self.pressure.set_weight(service, class, weight);
        }
        for (queue, mean_ms) in learned.durations_ms {
            self.durations.recall(queue, mean_ms);
        }
    }
}
