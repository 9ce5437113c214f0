//! Retry rules: whether, where and until when a request may be sent again, depending on the idempotency of its class
//! and on what its earlier attempts may have done. These rules also decide whether a retry may go to a different node
//! than the first attempt.

use super::interface::Endpoint;
use super::settings::{DeduplicationScope, Idempotency};
use flaxgap_attempts::{Attempt, Attempts};

/// Returns whether the request may be rejected. A rejection tells the client that sending the request again is
/// harmless.
pub(super) fn may_reject(idempotency: Idempotency, attempts: &Attempts) -> bool {
    match idempotency {
        Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::AllNodes, .. } => true,
        _ => attempts.may_have_run().next().is_none(),
    }
}

/// Returns the time until which a request may be sent again. It is limited because nodes remember idempotency keys for
/// a limited time.
pub(super) fn retry_window_end(idempotency: Idempotency, attempts: &Attempts) -> f64 {
    let Idempotency::WithKey { window_s, .. } = idempotency else { return f64::INFINITY };
    attempts.may_have_run().map(|attempt| attempt.sent_at + window_s).fold(f64::INFINITY, f64::min)
}

/// Returns whether a further attempt is allowed on any node.
pub(super) fn may_retry(idempotency: Idempotency, attempts: &Attempts) -> bool {
    idempotency != Idempotency::NotIdempotent || attempts.may_have_run().next().is_none()
}

/// Returns whether an attempt that starts within `margin_s` may be sent to `target`. A request never has two attempts
/// in flight at the same time.
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

/// Returns whether `target` recognises a duplicate of an earlier attempt that may have run.
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
