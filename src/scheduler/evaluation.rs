//! Evaluation of queued requests: whether a request may be sent to its node now, and its rank among the requests that
//! may.

use super::extent_order::{ExtentOrder, ExtentTurn};
use super::fair_queue::{Band, BandRank, Rank};
use super::fleet_latency::FleetLatency;
use super::interface::{Admission, RequestId};
use super::load_shedding::LoadShedding;
use super::node_queue::{NodeQueue, PRESSURE_FRACTION, QueuePosition};
use super::pending_requests::{PendingRequest, PendingRequests};
use super::retry_budget::RetryBudgetWindow;
use super::retry_rules;
use super::settings::SchedulerSettings;
use super::slow_start::SlowStartLimit;
use super::timers::Timers;
use super::volume_quotas::VolumeQuotas;

/// Mean number of shared requests that all heads together keep in flight at a node under pressure, at most one per
/// head, however slow the node is. These requests keep the node's latency known.
const MAX_IN_FLIGHT_UNDER_PRESSURE: f64 = 6.0;
/// Number of times, within the tightest latency objective, at which a request that waits for a node under pressure is
/// evaluated again.
const PRESSURE_CHECKS: f64 = 8.0;

/// A queued request that may be sent to its node now.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub(super) rank: Rank,
    pub(super) position: QueuePosition,
}

/// The state by which the requests of one node queue are evaluated. If a request has to wait, the time of its next
/// evaluation is recorded in `timers`.
pub(super) struct QueueEvaluation<'a> {
    pub(super) now: f64,
    pub(super) settings: &'a SchedulerSettings,
    pub(super) tightest_objective_s: f64,
    pub(super) fleet_latency: FleetLatency,
    pub(super) requests: &'a PendingRequests,
    pub(super) extent_order: &'a ExtentOrder,
    pub(super) load_shedding: &'a LoadShedding,
    pub(super) slow_start: &'a SlowStartLimit,
    pub(super) queue: &'a mut NodeQueue,
    pub(super) volume_quotas: &'a mut VolumeQuotas,
    pub(super) retry_budget: &'a mut RetryBudgetWindow,
    pub(super) timers: &'a mut Timers,
}

impl<'a> QueueEvaluation<'a> {
    /// Returns the request with the lowest rank. A class whose best request is in a worse band waits for better-band
    /// requests of other classes, since a request sent first would delay them in the node's own queue.
    pub(super) fn best_candidate(&mut self) -> Option<Candidate> {
        // `evaluate` mutates other fields of the queue, so the lists are moved out while they are iterated.
        let queued_by_class = std::mem::take(&mut self.queue.queued_by_class);
        let mut best: Option<Candidate> = None;
        for (class, queued) in queued_by_class.iter().enumerate() {
            let class_tag = self.queue.fair_queue.class_start_tag(class);
            for (index, id) in queued.iter().enumerate() {
                let Some(BandRank { band, key }) = self.evaluate(*id) else { continue };
                let rank = Rank { band, class_tag, key };
                if best.is_none_or(|best| rank < best.rank) {
                    best = Some(Candidate { rank, position: QueuePosition { class, index } });
                }
            }
        }
        self.queue.queued_by_class = queued_by_class;
        best
    }

    /// Returns the band of a request and its key within the band, or `None` if the request must wait.
    ///
    /// The order of the checks matters. The volume's buckets are refilled for every request, but the node's slow-start
    /// tokens only if the preceding checks pass: refilling at other times would change the floating-point results and
    /// time stamps of the buckets. A failed check records when to evaluate the request again. `tests/equivalence.rs`
    /// verifies that the decisions stay the same.
    fn evaluate(&mut self, id: RequestId) -> Option<BandRank> {
        let requests: &'a PendingRequests = self.requests;
        let pending = &requests[id];
        let request = &pending.request;
        let buckets = self.volume_quotas.refill(request.volume, request.plan, self.now);
        // A volume without buckets has no reserve.
        let reserve = buckets.map_or(-1.0, |buckets| buckets.reserve());
        let may_send = self.may_send_by_retry_rules(pending)
            && self.is_turn_in_extent(pending)
            && self.fits_slow_start(pending);
        if !may_send {
            return None;
        }
        let band_rank = self.band_rank(pending, reserve);
        let pressure = self.pressure();
        let may_send = self.is_admitted(pending, band_rank.band, pressure)
            && self.fits_pressure(pending, band_rank.band, pressure)
            && self.fits_retry_budget(pending)
            && self.fits_volume_limit(pending);
        may_send.then_some(band_rank)
    }

    fn may_send_by_retry_rules(&self, pending: &PendingRequest) -> bool {
        let Some(node) = &self.queue.serving_node.endpoint else { return false };
        let idempotency = self.settings.classes[pending.request.class.0].idempotency;
        retry_rules::may_send(idempotency, &pending.attempts, node, self.now, self.settings.tick_s)
    }

    fn is_turn_in_extent(&mut self, pending: &PendingRequest) -> bool {
        let Some(extent) = pending.ordered_extent else { return true };
        match self.extent_order.turn(extent, pending.request.id, pending.is_retry(), self.now) {
            ExtentTurn::Ready => true,
            ExtentTurn::BehindEarlier => false,
            ExtentTurn::PausedUntil(at) => {
                self.timers.evaluate_again_at(at);
                false
            }
        }
    }

    fn fits_slow_start(&mut self, pending: &PendingRequest) -> bool {
        let Some(rate) = self.slow_start.rate(self.queue, self.now, self.fleet_latency) else {
            return true;
        };
        let wait_s = self.slow_start.wait_s(self.queue, rate, pending, self.now);
        if wait_s > 0.0 {
            self.timers.evaluate_again_at(self.now + wait_s.max(self.settings.tick_s));
            return false;
        }
        true
    }

    fn band_rank(&self, pending: &PendingRequest, reserve: f64) -> BandRank {
        if self.is_late(pending) {
            return BandRank { band: Band::Late, key: pending.deadline_at };
        }
        if reserve >= pending.request.units {
            return BandRank { band: Band::Reserved, key: pending.objective_at };
        }
        let volume_tag = self.queue.fair_queue.volume_start_tag(pending.request.volume);
        BandRank { band: Band::Shared, key: volume_tag }
    }

    /// Returns whether the request would be answered after its latency objective.
    fn is_late(&self, pending: &PendingRequest) -> bool {
        let latency_s = self.queue.latency.class_mean_s(pending.request.class.0);
        self.now + latency_s > pending.objective_at
    }

    /// Returns the estimated latency divided by the pressure threshold; a node with a value above 1 is under pressure.
    fn pressure(&self) -> f64 {
        let latency_s = self.queue.estimated_latency_s(self.now, self.fleet_latency);
        latency_s / (PRESSURE_FRACTION * self.tightest_objective_s)
    }

    /// Returns whether the shedding level in force admits the request now. At `WithinReserve`, a request that is late
    /// or beyond its reserve is sent only to an idle node that is not under pressure. At `TrialOnly`, any request is
    /// sent only to an idle node. A node is idle if this process has no request in flight there.
    fn is_admitted(&self, pending: &PendingRequest, band: Band, pressure: f64) -> bool {
        let is_idle = self.queue.in_flight.is_empty();
        match self.load_shedding.admission(&pending.request, self.queue, self.now) {
            Admission::All | Admission::WithinQuota => true,
            Admission::WithinReserve => band == Band::Reserved || is_idle && pressure < 1.0,
            Admission::TrialOnly => is_idle,
        }
    }

    /// Returns whether the request may be sent given the node's pressure. Under pressure the node's own queue delays
    /// reserved work, so some requests wait:
    ///
    /// - Late work waits for a node under pressure.
    /// - Shared work waits for a node under pressure while this head has a request in flight there.
    /// - A request is in excess if its random `sample` times the number of heads is above
    ///   `MAX_IN_FLIGHT_UNDER_PRESSURE`. Shared work in excess waits if the pressure is above `1 + sample`, reserved
    ///   work in excess if the estimated latency is above `1 + sample` times the tightest objective. So the slower the
    ///   node, the fewer heads send to it.
    fn fits_pressure(&mut self, pending: &PendingRequest, band: Band, pressure: f64) -> bool {
        let is_excess = pending.sample * f64::from(self.settings.heads) > MAX_IN_FLIGHT_UNDER_PRESSURE;
        let has_in_flight = !self.queue.in_flight.is_empty();
        let waits = match band {
            Band::Reserved => is_excess && pressure * PRESSURE_FRACTION > 1.0 + pending.sample,
            Band::Shared => pressure > 1.0 && (has_in_flight || is_excess && pressure > 1.0 + pending.sample),
            Band::Late => pressure > 1.0,
        };
        if waits {
            self.timers.evaluate_again_at(self.now + self.tightest_objective_s / PRESSURE_CHECKS);
        }
        !waits
    }

    fn fits_retry_budget(&mut self, pending: &PendingRequest) -> bool {
        !pending.is_retry() || self.retry_budget.allows_retry(self.now)
    }

    /// Returns whether the request fits its volume's rate limit. A request that a node has already received is not
    /// charged again.
    fn fits_volume_limit(&mut self, pending: &PendingRequest) -> bool {
        if pending.attempts.was_received() {
            return true;
        }
        let is_late = self.is_late(pending);
        let wait_s = self.volume_quotas.limit_wait_s(&pending.request, is_late, self.now);
        if wait_s > 0.0 {
            self.timers.evaluate_again_at(self.now + wait_s);
            return false;
        }
        true
    }
}
