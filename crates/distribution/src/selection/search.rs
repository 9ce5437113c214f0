//! Trying all relays in turn while none speaks.

/// A walk through the relays that begins again at its end.
#[derive(Debug)]
pub(super) struct Search {
    order: Vec<usize>,
    place: usize,
    next_at: f64,
}

impl Search {
    /// Tries in this order, from a time on.
    pub(super) fn new(order: Vec<usize>, next_at: f64) -> Search {
        Search { order, place: 0, next_at }
    }

    /// When the next try is due.
    pub(super) fn next_at(&self) -> f64 {
        self.next_at
    }

    /// The relay to try now, if one is due; the next follows after a pause. Who is passed over takes no turn.
    pub(super) fn next(
        &mut self,
        now: f64,
        pause: f64,
        is_passed_over: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + pause;
        for _ in 0..self.order.len() {
            let relay = self.order[self.place];
            self.place = (self.place + 1) % self.order.len();
            if !is_passed_over(relay) {
                return Some(relay);
            }
        }
        None
    }
}
