//! Counts of final answers, for the operators.

use super::{Core, FinalAnswer};
use crate::interface::{ClassId, RejectionReason};
use crate::policy::CacheCounts;

/// The final answers to one class's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Served.
    pub success: u64,
    /// Rejected.
    pub overload: u64,
    /// Failed or denied.
    pub error: u64,
}

/// How many requests were rejected for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionCount {
    /// The reason's name in the operators' figures.
    pub reason: &'static str,
    /// The requests.
    pub count: u64,
}

/// The final answers so far. A request that its client abandons before its answer begins is in no count.
#[derive(Default)]
pub(super) struct AnswerMetrics {
    by_class: Vec<AnswerCounts>,
    /// In the order of [`RejectionReason::ALL`].
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
    /// Counts a final answer to a request of this class, also one that was given without the core.
    pub fn count_answer(&mut self, class: ClassId, answer: &FinalAnswer) {
        self.metrics.count(class, answer);
    }

    /// The final answers to requests of this class.
    pub fn answer_counts(&self, class: ClassId) -> AnswerCounts {
        self.metrics.by_class.get(usize::from(class.0)).copied().unwrap_or_default()
    }

    /// The rejections by reason.
    pub fn rejections(&self) -> impl Iterator<Item = RejectionCount> + '_ {
        RejectionReason::ALL.into_iter().map(|reason| self.metrics.rejections_for(reason))
    }

    /// How many caches are listed, and how many of them the router avoids.
    pub fn cache_counts(&self) -> CacheCounts {
        self.router.cache_counts()
    }
}
