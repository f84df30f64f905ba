//! What a running member reports to operators: its events as log lines, and its view of the federation.

use super::{Counters, Participant};
use crate::federation::links::Links;
use crate::federation::node::{LogIndexes, NodeEvent};
use crate::federation::settings::FederationSettings;
use crate::federation::state::{Lease, Member};
use crate::federation::view::{DutyView, MemberView, View};
use crate::federation::{Leadership, MemberId};
use crate::interface::Instant;
use tracing::{info, warn};

impl Participant {
    /// Logs the node's events since the last call. Returns whether there were any.
    pub fn log_events(&mut self, counters: &mut Counters) -> bool {
        let events = self.node.take_events();
        for event in &events {
            match event {
                NodeEvent::LeaderChanged(Leadership { leader, term }) => {
                    counters.elections += u64::from(leader.is_some());
                    info!(leader = leader.get(), term = term.get(), "federation: leader changed");
                }
                NodeEvent::MembersChanged(change) => info!(?change, "federation: the members changed"),
                NodeEvent::SnapshotInstalled(index) => {
                    info!(index = index.get(), "federation: installed a snapshot")
                }
                NodeEvent::UnknownEntry(index) => {
                    warn!(index = index.get(), "federation: skipped a log entry that cannot be decoded")
                }
            }
        }
        !events.is_empty()
    }

    /// Returns the federation as this member knows it.
    pub fn view(&self, now: Instant, settings: &FederationSettings, links: &Links) -> View {
        let LogIndexes { last, committed, applied } = self.node.log_indexes();
        let Leadership { leader, term } = self.node.leadership();
        View {
            cluster: settings.cluster.clone(),
            id: settings.id,
            term,
            leader,
            role: self.node.role().to_owned(),
            last,
            committed,
            applied,
            revision: self.node.state().revision,
            file_revision: settings.revision,
            members: self.member_views(links),
            duties: self.duty_views(now),
            ..View::default()
        }
    }

    fn member_views(&self, links: &Links) -> Vec<MemberView> {
        let progress = self.node.progress();
        let view = |(id, member): (&MemberId, &Member)| {
            let own = *id == self.node.id();
            MemberView {
                id: *id,
                site: member.site.clone(),
                voter: member.voter,
                enrolled: member.incarnation.is_some(),
                connected: own || links.connected(*id),
                lag: progress.get(id).map(|progress| progress.lag),
                active: progress.get(id).map(|progress| progress.active || own),
            }
        };
        self.node.state().members.iter().map(view).collect()
    }

    fn duty_views(&self, now: Instant) -> Vec<DutyView> {
        let view = |(duty, lease): (&String, &Lease)| DutyView {
            duty: duty.clone(),
            holder: lease.holder,
            token: lease.token,
            held: self.holder.token(now, duty) == Some(lease.token),
        };
        self.node.state().duties.iter().map(view).collect()
    }
}
