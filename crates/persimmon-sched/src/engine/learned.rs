use super::Engine;
use persimmon_interference::{ClassKey, ServiceKey};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Most weights that are handed on: more would not fit into a value of the store.
const WEIGHTS_MAX: usize = 10_000;

/// Estimates learned by an owner, handed to its successor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// Interference weights: latency-critical image, batch image and weight.
    pub interference_weights: Vec<(String, String, f64)>,
    /// Mean run time of the tasks of each queue, in milliseconds.
    pub durations_ms: Vec<(String, f64)>,
}

impl Engine {
    /// Returns the estimates learned so far.
    pub fn learned(&self) -> Learned {
        let images = self.image_keys.iter();
        let names: HashMap<_, _> = images.map(|(name, image)| (image.0, name)).collect();
        let name = |key: u32| names.get(&key).map(|name| (*name).clone());
        let weights = self
            .interference
            .iter()
            .filter_map(|(service, class, weight)| {
                Some((name(service.0)?, name(class.0)?, weight))
            });
        Learned {
            interference_weights: weights.take(WEIGHTS_MAX).collect(),
            durations_ms: self.durations.iter().collect(),
        }
    }

    /// Restores the estimates learned by an earlier owner.
    pub fn restore_learned(&mut self, learned: Learned) {
        for (service, class, weight) in learned.interference_weights {
            let (service, class) = (self.image_key(&service), self.image_key(&class));
            let (service, class) = (ServiceKey(service.0), ClassKey(class.0));
            self.interference.set_weight(service, class, weight);
        }
        for (queue, mean_ms) in learned.durations_ms {
            self.durations.restore(queue, mean_ms);
        }
    }
}
