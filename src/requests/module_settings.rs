//! What the decision module is given of a deployment.
//!
//! Behind the classes of the settings stand those of the pre-check phases, one for each class that has such a phase. This
//! file owns their order and names.

use crate::config::Deployment;
use crate::decisions::api::Settings;
use crate::decisions::two_phase::TwoPhasePlanner;

/// The decision module's settings.
pub(super) fn module_settings(deployment: &Deployment) -> Settings {
    let mut settings = deployment.policy.clone();
    // Neither front has a second answer to one request: the first answer is the last.
    for class in &mut settings.classes {
        class.second_step_parts = 0;
    }
    let pre_check: Vec<_> = deployment
        .phases
        .classes
        .iter()
        .map(|class| settings.classes[*class].clone())
        .collect();
    settings.classes.extend(pre_check);
    settings
}

/// The names of the decision module's classes. No class of the settings can have one with a slash in its path.
pub(super) fn module_classes(deployment: &Deployment) -> Vec<String> {
    let pre_check = deployment
        .phases
        .classes
        .iter()
        .map(|class| format!("{}/ahead", deployment.classes[*class]));
    deployment
        .classes
        .iter()
        .cloned()
        .chain(pre_check)
        .collect()
}

/// The index of the decision module's class for pre-checks of a class, where it has such a phase.
pub(super) fn pre_check_class(deployment: &Deployment, class: usize) -> Option<u16> {
    let mut pre_check_classes = deployment.phases.classes.iter();
    let index = pre_check_classes.position(|other| *other == class)?;
    Some((deployment.classes.len() + index) as u16)
}

/// The state of the pre-check phases of a deployment, with nothing learned yet.
pub(super) fn new_phases(deployment: &Deployment) -> TwoPhasePlanner {
    TwoPhasePlanner::new(
        &deployment.phases,
        &deployment.classes,
        &deployment.policy.classes,
    )
}

/// For each name its index among the former names.
pub(super) fn former_indices(names: &[String], former: &[String]) -> Vec<Option<usize>> {
    names
        .iter()
        .map(|name| former.iter().position(|other| other == name))
        .collect()
}
