//! The settings that hold while some clients follow new settings and others still follow former ones.

use super::Deployment;
use crate::decisions::api::{ClassSettings, Effect};

/// A change of a class's effect that not all clients follow yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectChange {
    /// Effect in the former settings.
    pub former: Effect,
    /// Effect in the new settings.
    pub new: Effect,
}

impl Deployment {
    /// Returns these settings with their rules on retries restricted to what `former` allows as well. A request does not tell
    /// which settings its client follows, so a part of a class whose effect differs is not retried once it may have run.
    pub fn restricted_by(mut self, former: &Deployment) -> Deployment {
        for (index, name) in self.classes.iter().enumerate() {
            let Some(former_class) = former.class_settings(name) else {
                continue;
            };
            let class = &mut self.policy.classes[index];
            class.idempotency_window_s = class
                .idempotency_window_s
                .min(former_class.idempotency_window_s);
            if class.effect != former_class.effect {
                let change = EffectChange {
                    former: former_class.effect,
                    new: class.effect,
                };
                self.effect_changes.entry(index).or_insert(change);
                class.effect = Effect::NonIdempotent;
            }
        }
        self
    }

    fn class_settings(&self, name: &str) -> Option<&ClassSettings> {
        let index = self.classes.iter().position(|class| class == name)?;
        self.policy.classes.get(index)
    }

    /// Returns the effect by which a client has formed a request of a class that has no idempotency key. While the effect is
    /// changing this is the former one, unless that requires a key.
    pub fn effect_of_request_without_key(&self, class: usize) -> Effect {
        match self.effect_changes.get(&class) {
            Some(change) if change.former == Effect::IdempotentWithKey => change.new,
            Some(change) => change.former,
            None => self.policy.classes[class].effect,
        }
    }

    /// Returns whether the effect of a class is changing, so that requests by its new or by its former effect are valid.
    pub fn is_effect_changing(&self, class: usize) -> bool {
        self.effect_changes.contains_key(&class)
    }
}
