//! The lease under which a replica may be served: each message from upstream renews it.

/// A lease that expires a fixed duration after the last contact with upstream.
#[derive(Debug)]
pub(super) struct Lease {
    duration_s: f64,
    last_contact: Option<f64>,
}

impl Lease {
    /// Creates a lease that was never renewed.
    pub(super) fn new(duration_s: f64) -> Lease {
        Lease { duration_s, last_contact: None }
    }

    /// Renews the lease at the time of a message; an earlier time does not shorten it.
    pub(super) fn renew(&mut self, now: f64) {
        let last_contact = self.last_contact.map_or(now, |before| before.max(now));
        self.last_contact = Some(last_contact);
    }

    /// When the lease expires; `None` if it was never renewed.
    pub(super) fn expires_at(&self) -> Option<f64> {
        self.last_contact.map(|at| at + self.duration_s)
    }
}
