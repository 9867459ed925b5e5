//! Conversion of the deployment's settings to those of the decision module. The module's classes are those of the settings,
//! followed by one class for the pre-checks of each class that has a pre-check phase.

use crate::config::Deployment;
use crate::decisions::api::Settings;
use crate::decisions::two_phase::TwoPhasePlanner;

/// Returns the settings of the decision module.
pub(super) fn module_settings(deployment: &Deployment) -> Settings {
    let mut settings = deployment.policy.clone();
    // Neither front can send a second answer to a request, so the first answer is final.
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

/// Returns the names of the decision module's classes. A name of the settings contains no slash, so the names of the
/// pre-check classes are unique.
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

/// Returns the index of the module's class for the pre-checks of a class, or `None` if the class has no pre-check phase.
pub(super) fn pre_check_class(deployment: &Deployment, class: usize) -> Option<u16> {
    let mut pre_check_classes = deployment.phases.classes.iter();
    let index = pre_check_classes.position(|other| *other == class)?;
    Some((deployment.classes.len() + index) as u16)
}

/// Returns the state of the deployment's pre-check phases without any statistics. A class keeps its phases, and with them what was
/// learned, while its effect is restricted for a time.
pub(super) fn new_phases(deployment: &Deployment) -> TwoPhasePlanner {
    let mut classes = deployment.policy.classes.clone();
    for (class, effect) in classes.iter_mut().zip(&deployment.declared_effects) {
        class.effect = *effect;
    }
    TwoPhasePlanner::new(&deployment.phases, &deployment.classes, &classes)
}

/// Returns for each name its index among the former names.
pub(super) fn former_indices(names: &[String], former: &[String]) -> Vec<Option<usize>> {
    names
        .iter()
        .map(|name| former.iter().position(|other| other == name))
        .collect()
}
