//! A roll back in the middle of an upgrade: a third process takes over from the second one while the first one has not exited.

use crate::harness::*;
use crate::stalled_successor::{judge, Site};
use crate::Verdict;

pub fn run(record: &Record) -> Verdict {
    let site = Site::new(record);
    let operators = [
        free_address("127.0.0.1"),
        free_address("127.0.0.1"),
        free_address("127.0.0.1"),
    ];
    let await_ready = |operator| await_that(10.0, || admin(operator, "STATUS") == "ok ready");
    let first = site.start("first", operators[0]);
    if !await_ready(operators[0]) {
        return Verdict::NotRun("the first process is not ready".into());
    }
    let mut second = site.start("second", operators[1]);
    if !await_ready(operators[1]) {
        return Verdict::NotRun("the second process did not take over".into());
    }
    sleep(1.0);
    let mut processes = vec![];
    if has_trouble() {
        // The operators find the new version bad, and start the old one again.
        let third = site.start("third", operators[2]);
        if !await_ready(operators[2]) {
            return Verdict::NotRun("the third process did not take over".into());
        }
        second.signal("TERM");
        if !second.await_exit(10.0) {
            return Verdict::NotRun("the second process did not exit".into());
        }
        processes.push(third);
        sleep(1.0);
    }
    let verdict = judge(&site, &operators);
    first.record_log();
    second.record_log();
    processes.iter().for_each(Mixer::record_log);
    verdict
}
