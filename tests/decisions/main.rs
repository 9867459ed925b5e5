//! Tests of the decision module through its public interface, with one test for each decision and each fault that was found.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod crash_detection;
mod hedging;
mod idle_loss;
mod lifecycle;
mod outliers;
mod partial_answers;
mod retry;
mod selection;
mod slow_start;
mod two_phase;
