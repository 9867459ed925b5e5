//! The rules that hold while clients may follow other settings than those of this mixer: former ones, ones that come into force soon,
//! or ones that this mixer does not know.

use super::Deployment;
use crate::decisions::api::{ClassSettings, Effect, RetryBudget, Settings};

/// A class's effect in the settings in use and in others, while some clients follow either.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectChange {
    /// Effect that most clients follow.
    pub expected: Effect,
    /// Effect that the other clients follow.
    pub other: Effect,
}

/// Reason why clients may follow settings that this mixer does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Uncertainty {
    /// The settings were read a short time ago, and how long they have been in force is not known.
    UnknownAge,
    /// The store has not been read, or not for some time. It may hold other settings.
    StoreUnread,
}

impl Deployment {
    /// Returns these settings, which most clients do not follow yet, with their rules restricted to what `former` allows as well.
    /// A request does not contain which settings its client follows.
    pub fn restricted_by_former(self, former: &Deployment) -> Deployment {
        self.restricted_by(former, |own, former| EffectChange {
            expected: former,
            other: own,
        })
    }

    /// Returns these settings with their rules restricted to what `next` allows as well, which some clients follow already.
    pub fn restricted_by_next(self, next: &Deployment) -> Deployment {
        self.restricted_by(next, |own, next| EffectChange {
            expected: own,
            other: next,
        })
    }

    /// Restricts the rules to what `other` allows as well: a part of a class whose effect differs is not retried once it may have
    /// run, and otherwise the smaller limits hold.
    fn restricted_by(
        mut self,
        other: &Deployment,
        change: impl Fn(Effect, Effect) -> EffectChange,
    ) -> Deployment {
        restrict_attempts(&mut self.policy, &other.policy);
        for (index, name) in self.classes.iter().enumerate() {
            let Some(other_class) = other.class_settings(name) else {
                continue;
            };
            let class = &mut self.policy.classes[index];
            restrict_class(class, other_class);
            if class.effect != other_class.effect {
                let change = change(self.declared_effects[index], other_class.effect);
                self.effect_changes.entry(index).or_insert(change);
                class.effect = Effect::NonIdempotent;
            }
        }
        self
    }

    /// Returns these settings without any permission that others may lack: no part that may have run is sent again, and none is
    /// sent twice at once. Names, deadlines and the number of attempts stay as they are.
    pub fn without_repeats(mut self, reason: Uncertainty) -> Deployment {
        for class in &mut self.policy.classes {
            class.effect = Effect::NonIdempotent;
        }
        self.policy.can_hedge = false;
        self.uncertainty = Some(reason);
        self
    }

    fn class_settings(&self, name: &str) -> Option<&ClassSettings> {
        let index = self.classes.iter().position(|class| class == name)?;
        self.policy.classes.get(index)
    }

    /// Returns the effect by which a client has formed a request of a class that has no idempotency key. While the effect is
    /// changing this is the expected one, unless that requires a key.
    pub fn effect_of_request_without_key(&self, class: usize) -> Effect {
        match self.effect_changes.get(&class) {
            Some(change) if change.expected == Effect::IdempotentWithKey => change.other,
            Some(change) => change.expected,
            None => self.declared_effects[class],
        }
    }

    /// Returns whether the effect of a class is changing, so that requests by its new or by its former effect are valid.
    pub fn is_effect_changing(&self, class: usize) -> bool {
        self.effect_changes.contains_key(&class)
    }

    /// Returns whether an idempotency key is forwarded to leaf servers although the class of its request does not require one:
    /// the client may follow settings that do.
    pub fn forwards_any_key(&self, class: usize) -> bool {
        self.uncertainty.is_some() || self.is_effect_changing(class)
    }

    /// Returns whether the store may hold settings that this mixer has not read.
    pub fn is_store_unread(&self) -> bool {
        self.uncertainty == Some(Uncertainty::StoreUnread)
    }
}

/// Restricts the limits on attempts that all classes share.
fn restrict_attempts(policy: &mut Settings, other: &Settings) {
    policy.max_attempts = policy.max_attempts.min(other.max_attempts);
    policy.can_hedge &= other.can_hedge;
    policy.retry_budget = smaller_budget(policy.retry_budget, other.retry_budget);
}

fn smaller_budget(own: Option<RetryBudget>, other: Option<RetryBudget>) -> Option<RetryBudget> {
    let (Some(own), Some(other)) = (own, other) else {
        return own.or(other);
    };
    Some(RetryBudget {
        min_retries: own.min_retries.min(other.min_retries),
        retries_per_accepted: own.retries_per_accepted.min(other.retries_per_accepted),
        window_s: own.window_s.max(other.window_s),
    })
}

/// Restricts the idempotency window, and the shares from which an answer may be given or called complete.
fn restrict_class(class: &mut ClassSettings, other: &ClassSettings) {
    class.idempotency_window_s = class.idempotency_window_s.min(other.idempotency_window_s);
    class.min_partial_share = class.min_partial_share.max(other.min_partial_share);
    class.complete_share = class.complete_share.max(other.complete_share);
}
