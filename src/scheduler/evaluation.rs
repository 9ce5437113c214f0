//! Evaluation of a queued request: whether it may go to its node now, and its place among those that may.

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

/// Shared requests that all heads together keep in flight at a node under pressure on average, one a head, however
/// slow the node is: so its latency stays known.
const MAX_IN_FLIGHT_UNDER_PRESSURE: f64 = 6.0;
/// A request that waits for a node under pressure is evaluated again so many times within the tightest objective.
const PRESSURE_CHECKS: f64 = 8.0;

/// A queued request that may go to its node now.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub(super) rank: Rank,
    pub(super) position: QueuePosition,
}

/// What the requests in one node queue are evaluated by. Where a request has to wait, the moment at which to evaluate
/// it again is noted in `timers`.
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
    /// The request with the lowest rank. A class whose best request is of a worse band waits for the other classes'
    /// better ones, since what is sent first delays the rest in the node's own queue.
    pub(super) fn best_candidate(&mut self) -> Option<Candidate> {
        // Evaluation changes the queue's other fields.
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

    /// A request's band and its place within it, if it may be sent now.
    ///
    /// The order of the steps matters. The volume's buckets are refilled for each request, but the node's slow-start
    /// tokens only where the checks before that one pass: refilling in other steps would change the buckets'
    /// floating-point results and time stamps. A check that fails also says when to evaluate again.
    /// `tests/equivalence.rs` pins the decisions that follow.
    fn evaluate(&mut self, id: RequestId) -> Option<BandRank> {
        let requests: &'a PendingRequests = self.requests;
        let pending = &requests[id];
        let request = &pending.request;
        let buckets = self.volume_quotas.refill(request.volume, request.plan, self.now);
        // An unknown volume has no reserve.
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
            ExtentTurn::BehindAnother => false,
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

    /// Whether the request would be answered after its latency objective.
    fn is_late(&self, pending: &PendingRequest) -> bool {
        let latency_s = self.queue.latency.class_mean_s(pending.request.class.0);
        self.now + latency_s > pending.objective_at
    }

    /// Estimated latency divided by the pressure threshold; above 1 the node is under pressure.
    fn pressure(&self) -> f64 {
        let latency_s = self.queue.estimated_latency_s(self.now, self.fleet_latency);
        latency_s / (PRESSURE_FRACTION * self.tightest_objective_s)
    }

    /// Whether the shedding level in force lets the request go now. At `WithinReserve` a request that is
    /// late or outside its reserve goes only to an idle node that is not under pressure; at `TrialOnly` any request
    /// goes only to an idle node. A node is idle if this process has nothing in flight there.
    fn is_admitted(&self, pending: &PendingRequest, band: Band, pressure: f64) -> bool {
        let is_idle = self.queue.in_flight.is_empty();
        match self.load_shedding.admission(&pending.request, self.queue, self.now) {
            Admission::All | Admission::WithinQuota => true,
            Admission::WithinReserve => band == Band::Reserved || is_idle && pressure < 1.0,
            Admission::TrialOnly => is_idle,
        }
    }

    /// Whether the request may go to the node although the node may be under pressure, so that its own queue delays
    /// reserved work.
    ///
    /// - Late work waits for a node under pressure.
    /// - Shared work waits for a node under pressure while this head has a request in flight there.
    /// - Beyond `MAX_IN_FLIGHT_UNDER_PRESSURE` over all heads, the heads that still send are picked at random by the
    ///   request's `sample`, the fewer the slower the node: shared work waits if the pressure is above `1 + sample`,
    ///   reserved work if the estimated latency is above `1 + sample` times the tightest objective.
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

    /// Whether the request fits its volume's rate limit. One that a node has received is not charged again.
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
