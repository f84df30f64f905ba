//! Counts of final answers, for the metrics.

use super::{Core, FinalAnswer};
use crate::interface::{ClassId, RejectionReason};
use crate::policy::CacheCounts;

/// Numbers of final answers to the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Requests that were served.
    pub success: u64,
    /// Requests that were rejected.
    pub overload: u64,
    /// Requests that failed or were denied.
    pub error: u64,
}

/// Number of requests that were rejected for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionCount {
    /// The reason's name in the metrics.
    pub reason: &'static str,
    /// Number of rejected requests since the start of the process.
    pub count: u64,
}

/// Counts of all final answers. A request whose client leaves before its answer begins is not counted.
#[derive(Default)]
pub(super) struct AnswerMetrics {
    by_class: Vec<AnswerCounts>,
    /// Rejections by reason, in the order of [`RejectionReason::ALL`].
    rejections: [u64; RejectionReason::COUNT],
}

impl AnswerCounts {
    fn count(&mut self, answer: &FinalAnswer) {
        match answer {
            FinalAnswer::Served(_) => self.success += 1,
            FinalAnswer::Rejected { .. } => self.overload += 1,
            FinalAnswer::Failed { .. } | FinalAnswer::Denied => self.error += 1,
        }
    }
}

impl AnswerMetrics {
    fn count(&mut self, class: ClassId, answer: &FinalAnswer) {
        let class = usize::from(class.0);
        if self.by_class.len() <= class {
            self.by_class.resize(class + 1, AnswerCounts::default());
        }
        self.by_class[class].count(answer);
        if let FinalAnswer::Rejected { reason, .. } = answer {
            self.rejections[*reason as usize] += 1;
        }
    }

    fn rejections_for(&self, reason: RejectionReason) -> RejectionCount {
        RejectionCount { reason: reason.metric_name(), count: self.rejections[reason as usize] }
    }
}

impl Core {
    /// Counts a final answer to a request of a class. The program also counts answers that it gives without the core.
    pub fn count_answer(&mut self, class: ClassId, answer: &FinalAnswer) {
        self.metrics.count(class, answer);
    }

    /// Returns the numbers of final answers to requests of a class.
    pub fn answer_counts(&self, class: ClassId) -> AnswerCounts {
        self.metrics.by_class.get(usize::from(class.0)).copied().unwrap_or_default()
    }

    /// Returns the number of rejections for each reason.
    pub fn rejections(&self) -> impl Iterator<Item = RejectionCount> + '_ {
        RejectionReason::ALL.into_iter().map(|reason| self.metrics.rejections_for(reason))
    }

    /// Returns how many caches are listed, and how many of them the router avoids.
    pub fn cache_counts(&self) -> CacheCounts {
        self.router.cache_counts()
    }
}
