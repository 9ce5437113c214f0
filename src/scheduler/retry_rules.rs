//! Retry rules: whether, where and until when a request may be sent again, by its class's idempotency and by what its
//! earlier attempts may have done. That a retry may go to another node than the first attempt is decided here.

use super::interface::Endpoint;
use super::settings::{DeduplicationScope, Idempotency};
use flaxgap_attempts::{Attempt, Attempts};

/// Whether the request may be rejected, which tells the client that sending it again is harmless.
pub(super) fn may_reject(idempotency: Idempotency, attempts: &Attempts) -> bool {
    match idempotency {
        Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::AllNodes, .. } => true,
        _ => attempts.may_have_run().next().is_none(),
    }
}

/// When the time for another attempt ends: idempotency keys are remembered for a limited time.
pub(super) fn retry_window_end(idempotency: Idempotency, attempts: &Attempts) -> f64 {
    let Idempotency::WithKey { window_s, .. } = idempotency else { return f64::INFINITY };
    attempts.may_have_run().map(|attempt| attempt.sent_at + window_s).fold(f64::INFINITY, f64::min)
}

/// Whether one more attempt is allowed at all, on whichever node.
pub(super) fn may_retry(idempotency: Idempotency, attempts: &Attempts) -> bool {
    idempotency != Idempotency::NotIdempotent || attempts.may_have_run().next().is_none()
}

/// Whether an attempt that begins within `margin_s` may go to this node. Two are never in flight at once.
pub(super) fn may_send(
    idempotency: Idempotency,
    attempts: &Attempts,
    target: &Endpoint,
    now: f64,
    margin_s: f64,
) -> bool {
    let is_in_time = now + margin_s < retry_window_end(idempotency, attempts);
    !attempts.has_in_flight()
        && is_in_time
        && attempts.may_have_run().all(|earlier| may_follow(idempotency, earlier, target))
}

/// Whether a node recognises a duplicate of an earlier attempt that may have run.
fn may_follow(idempotency: Idempotency, earlier: &Attempt, target: &Endpoint) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NotIdempotent => false,
        Idempotency::WithKey { scope, .. } => match scope {
            DeduplicationScope::AllNodes => true,
            DeduplicationScope::Zone => earlier.zone == target.zone,
            DeduplicationScope::Shard => earlier.shard == target.shard,
        },
    }
}
