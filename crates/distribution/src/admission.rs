//! How many whole lists a relay sends at a time. A relay that restarts empty while all its heads ask for the whole list
//! stays bounded in bytes held and in bytes sent per second: some lists are sent at once, the others wait in order, and
//! who comes when too many wait is told to come again later. Watches that go on from the log are not counted here.

use crate::draw::Draw;
use std::collections::VecDeque;

/// The bounds of whole lists.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Lists that are sent at a time. Each may hold an older text: at 1 MB a list 16 MB at most.
    pub sends: usize,
    /// Requests that wait in order, each for 8 bytes here and its connection: all heads of the coming size on one relay.
    pub waiting: usize,
    /// Bytes sent per second: 40% of a 1 Gbit/s line, so that changes go out beside them.
    pub bytes_per_s: f64,
    /// How long one list may take, in seconds, so that readers who take little hold no place for long.
    pub send_s: f64,
    /// Who is turned away comes again between one and two times this, in seconds.
    pub retry_s: f64,
}

impl Default for AdmissionLimits {
    fn default() -> AdmissionLimits {
        AdmissionLimits { sends: 16, waiting: 8192, bytes_per_s: 50e6, send_s: 20.0, retry_s: 4.0 }
    }
}

/// One request for the whole list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admit {
    /// Send it now, and say when that has ended.
    Send(Ticket),
    /// Wait until [`Admission::poll`] names this ticket.
    Wait(Ticket),
    /// Too many wait: come again after so many seconds.
    Retry {
        /// In seconds, differing from request to request.
        after_s: f64,
    },
}

/// A list that is being sent.
#[derive(Debug)]
struct Sending {
    ticket: Ticket,
    began: f64,
}

/// The whole lists that are being sent, and the requests that wait.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    sending: Vec<Sending>,
    waiting: VecDeque<(Ticket, usize)>,
    /// When the bytes admitted so far have been paid for by the rate.
    paid_at: f64,
    issued: u64,
    draw: Draw,
}

impl Admission {
    /// Nothing sent yet. The seed sets apart the relays' answers to those who are turned away.
    pub fn new(limits: AdmissionLimits, seed: u64) -> Admission {
        let (sending, waiting) = (Vec::new(), VecDeque::new());
        Admission { limits, sending, waiting, paid_at: f64::NEG_INFINITY, issued: 0, draw: Draw::new(seed) }
    }

    /// Somebody needs the whole list, of so many bytes.
    pub fn request(&mut self, bytes: usize, now: f64) -> Admit {
        if self.waiting.len() >= self.limits.waiting {
            let after_s = self.draw.between(self.limits.retry_s, 2.0 * self.limits.retry_s);
            return Admit::Retry { after_s };
        }
        self.issued += 1;
        let ticket = Ticket(self.issued);
        if self.waiting.is_empty() && self.has_room(now) {
            self.admit(ticket, bytes, now);
            return Admit::Send(ticket);
        }
        self.waiting.push_back((ticket, bytes));
        Admit::Wait(ticket)
    }

    /// The requests, first come first, that may be sent now.
    pub fn poll(&mut self, now: f64) -> Vec<Ticket> {
        let mut admitted = Vec::new();
        while self.has_room(now) {
            let Some((ticket, bytes)) = self.waiting.pop_front() else { break };
            self.admit(ticket, bytes, now);
            admitted.push(ticket);
        }
        admitted
    }

    /// A list was sent, or the one who asked for it has gone.
    pub fn finished(&mut self, ticket: Ticket) {
        self.sending.retain(|sending| sending.ticket != ticket);
        self.waiting.retain(|(waiting, _)| *waiting != ticket);
    }

    /// The lists that take too long: end these watches, and say that they are finished.
    pub fn overdue(&self, now: f64) -> Vec<Ticket> {
        let late = self.sending.iter().filter(|sending| now - sending.began >= self.limits.send_s);
        late.map(|sending| sending.ticket).collect()
    }

    /// When [`Admission::poll`] may admit the next request, if one waits for the rate rather than for a place.
    pub fn next_poll(&self) -> Option<f64> {
        let has_place = self.sending.len() < self.limits.sends;
        (has_place && !self.waiting.is_empty()).then_some(self.paid_at)
    }

    /// How many lists are being sent.
    pub fn sending(&self) -> usize {
        self.sending.len()
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn has_room(&self, now: f64) -> bool {
        self.sending.len() < self.limits.sends && self.paid_at <= now
    }

    fn admit(&mut self, ticket: Ticket, bytes: usize, now: f64) {
        self.sending.push(Sending { ticket, began: now });
        self.paid_at = self.paid_at.max(now) + bytes as f64 / self.limits.bytes_per_s;
    }
}
