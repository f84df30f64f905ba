//! The metrics that the admin endpoint reports. The values are kept in the parts that count them; this module
//! assigns their keys.

use super::Server;
use crate::interface::ClassId;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Counters of a class name, summed over all class ids that it has had.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ClassMetrics {
    success: u64,
    overload: u64,
    error: u64,
    dispatches: u64,
}

impl Server {
    /// Returns all metrics, one `key=value` per line.
    pub(super) fn metrics(&self) -> String {
        let classes = self.class_metrics();
        let mut text = String::new();
        let mut line = |key: &str, value: u64| {
            let _ = writeln!(text, "{key}={value}"); // writing to a string does not fail
        };
        for (name, class) in &classes {
            line(&format!("replies.{name}.success"), class.success);
            line(&format!("replies.{name}.overload"), class.overload);
            line(&format!("replies.{name}.error"), class.error);
            line(&format!("replies.{name}.dispatches"), class.dispatches);
        }
        for rejections in self.core.rejections() {
            line(&format!("refused.{}", rejections.reason), rejections.count);
        }
        let caches = self.core.cache_counts();
        line("dispatches", classes.values().map(|class| class.dispatches).sum());
        line("concurrent", self.pending.len() as u64);
        line("targets", caches.listed as u64);
        line("targets_disabled", caches.out_of_service as u64);
        line("reload_success", self.reloads.succeeded);
        line("reload_failure", self.reloads.failed);
        self.admission_metrics(&mut line);
        self.federation.metrics(&mut line);
        text
    }

    /// Returns the counters by class name. A class gets a new id whenever a reload changes its rules.
    fn class_metrics(&self) -> BTreeMap<&str, ClassMetrics> {
        let mut classes: BTreeMap<&str, ClassMetrics> = BTreeMap::new();
        for (number, name) in self.config.settings.program.class_names().enumerate() {
            let class = ClassId(number as u16);
            let answered = self.core.answer_counts(class);
            let sums = classes.entry(name).or_default();
            sums.success += answered.success;
            sums.overload += answered.overload;
            sums.error += answered.error;
            sums.dispatches += self.upstream.written_requests(class);
        }
        classes
    }
}
