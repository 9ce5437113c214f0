//! When a head may call a service that the whole fleet shares. Every head decides alone, from the number of heads
//! and from chance; what adds up over the fleet is kept under what one service bears. No clock, no sockets: time
//! spans come out, and whoever asks waits.

use std::cell::Cell;
use std::time::Duration;

/// Up to so many heads a service is taken to bear all of them at once.
pub const SMALL_FLEET: u32 = 8;
/// First and longest pause between two tries in a small fleet.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Over how long a larger fleet spreads calls that fall due together, for each time that it holds a small one.
const SPREAD: Duration = Duration::from_secs(1);
/// But no longer than this: what discovery has to tell counts as told 6 s later, asked for or not, and a call may
/// wait 2 s there for its turn.
const LATEST: Duration = Duration::from_secs(4);
/// How long a call for the list may take. Where many heads ask, calls wait in turn: one that is given up early has only
/// made the queue longer.
const CALL: Duration = Duration::from_secs(1);
const LONGEST_CALL: Duration = Duration::from_secs(4);
/// A watch on a shared service that stays silent this long is dead: an empty line is due every 2 s.
const SILENCE: Duration = Duration::from_secs(3);
/// An agent of the head's own is asked so many times within the settings' grace for nodes that leave: what it holds
/// counts as told at once, and the grace has to cover the time to the next call, the call, and what is about to be sent.
const IN_GRACE: u32 = 4;
/// But no more often than this, nor more seldom.
const LEAST_EVERY: Duration = Duration::from_millis(25);
const MOST_EVERY: Duration = Duration::from_millis(500);
/// An own agent that says nothing to calls for so long is reported as silent.
const QUIET: Duration = Duration::from_secs(1);
/// A watch on an own agent that is silent is kept until another speaks, since it may be the first to; it ends here.
const LONGEST_SILENCE: Duration = Duration::from_secs(60);
/// How long a head that starts waits for discovery before the list of an earlier life has to do. A volume's clients
/// have only its heads, and a service that all share may be overbooked for long. An agent of the head's own answers
/// at once unless it is cut off, and what it holds counts as told from the first request on: two calls may fail.
const OVERBOOKED: Duration = Duration::from_millis(150);
const OWN_AGENT: Duration = Duration::from_millis(2500);
/// Longest pause of a larger fleet, for each time that it holds a small one: a service that is behind catches up
/// only once its calls are fewer than it can do.
const FLEET_LONGEST: Duration = Duration::from_secs(2);
/// Least part of a span that a pause of a larger fleet takes, so that no head calls again at once.
const LEAST: f64 = 0.1;

/// How this head's calls fit among those of its fleet.
pub struct PollSchedule {
    /// How many times the fleet is larger than a small one, 1 at least.
    fleet: f64,
    shared: bool,
    /// How often an agent of the head's own is asked.
    every: Duration,
    chance: Cell<u64>,
}

impl PollSchedule {
    /// For one of `hosts` heads, with a seed of its own; `grace` is how long after it is told a node that leaves may
    /// still be sent to. `shared` is set where one service of fixed capacity answers
    /// them all; an agent of the head's own, to which changes are pushed, bears every call of that head, and
    /// what it holds counts as told: to wait before poller it is to use a list that is known to be old.
    pub fn new(hosts: u32, seed: u64, shared: bool, grace: Duration) -> PollSchedule {
        let fleet = if shared { (f64::from(hosts) / f64::from(SMALL_FLEET)).max(1.0) } else { 1.0 };
        let every = (grace / IN_GRACE).clamp(LEAST_EVERY, MOST_EVERY);
        PollSchedule { fleet, shared, every, chance: Cell::new(seed | 1) }
    }

    /// When one address is asked, from its first call on.
    pub fn poller(&self) -> Poller<'_> {
        Poller { schedule: self, backoff: self.backoff() }
    }

    /// How long a call for the list may take.
    pub fn call(&self) -> Duration {
        CALL.mul_f64(self.fleet).min(LONGEST_CALL)
    }

    /// How long news of the list are waited for at a start with the list of an earlier life.
    pub fn start(&self) -> Duration {
        if self.shared { OVERBOOKED } else { OWN_AGENT }
    }

    fn spread(&self) -> Duration {
        SPREAD.mul_f64(self.fleet).min(LATEST)
    }

    /// Before a first call that all heads may make together; none in a small fleet.
    pub fn first(&self) -> Duration {
        if self.fleet > 1.0 { self.spread().mul_f64(self.draw()) } else { Duration::ZERO }
    }

    /// Pauses between tries at one thing, from the shortest on.
    pub fn backoff(&self) -> Backoff<'_> {
        let mut backoff = Backoff { schedule: self, next: Duration::ZERO };
        backoff.restart();
        backoff
    }

    /// A number in [0, 1) by chance (xorshift).
    fn draw(&self) -> f64 {
        let mut state = self.chance.get();
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.chance.set(state);
        (state >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// How long a call may take at its stages.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Until it opens, and for one list from its first byte to its last.
    pub call: Duration,
    /// From opening to the first word.
    pub first: Duration,
    /// From word to word.
    pub silence: Duration,
}

/// How a call came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It brought what it was made for.
    Well,
    /// It opened, and then nothing came in time.
    Stalled,
    /// It opened, and broke.
    Broke,
    /// It never opened.
    NeverOpened,
}

/// The one place that decides when the list is asked for. An agent of the head's own is asked at an even pace, however
/// its calls end and whether a watch stands: that costs nothing there, and bounds how late any news is. A shared
/// service is asked once at a time, with pauses that spread a fleet's calls and grow while they fail.
pub struct Poller<'a> {
    schedule: &'a PollSchedule,
    backoff: Backoff<'a>,
}

impl Poller<'_> {
    /// Whether a watch is opened anew while one stands.
    pub fn renews(&self) -> bool {
        !self.schedule.shared
    }

    /// How long calls may take.
    pub fn spans(&self) -> CallTimeouts {
        let silence = if self.schedule.shared { SILENCE } else { LONGEST_SILENCE };
        CallTimeouts { call: self.schedule.call(), first: SILENCE, silence }
    }

    /// After how long without a word the other side is silent.
    pub fn quiet(&self) -> Duration {
        if self.schedule.shared { SILENCE } else { QUIET }
    }

    /// A call has begun: when the next one does, whatever comes of it.
    pub fn began(&self) -> Option<Duration> {
        self.renews().then_some(self.schedule.every)
    }

    /// A call has ended: when the next one begins, if that depends on it.
    pub fn ended(&mut self, end: CallEnd) -> Option<Duration> {
        match end {
            CallEnd::Well => return (!self.renews()).then_some(Duration::ZERO),
            CallEnd::Stalled => self.backoff.restart_late(),
            CallEnd::Broke => self.backoff.restart(),
            CallEnd::NeverOpened => {}
        }
        (!self.renews()).then(|| self.backoff.pause())
    }

    /// How long a call waits that is wanted although a watch stands.
    pub fn soon(&mut self) -> Duration {
        if self.renews() { self.schedule.every } else { self.backoff.pause() }
    }
}

/// Pauses between tries at one thing: each drawn from a span up to twice as long as the one before, so that heads
/// that lost it together do not come back together.
pub struct Backoff<'a> {
    schedule: &'a PollSchedule,
    next: Duration,
}

impl Backoff<'_> {
    /// The next pause is a first one again.
    pub fn restart(&mut self) {
        self.next = if self.schedule.fleet > 1.0 { self.schedule.spread() } else { FIRST_PAUSE };
    }

    /// After a watch that stayed silent: all that time was lost already, and no head noticed at the same moment.
    pub fn restart_late(&mut self) {
        self.restart();
        self.next /= 2;
    }

    /// The next pause.
    pub fn pause(&mut self) -> Duration {
        let (fleet, draw) = (self.schedule.fleet, self.schedule.draw());
        let (part, longest) = match fleet > 1.0 {
            true => (LEAST + (1.0 - LEAST) * draw, FLEET_LONGEST.mul_f64(fleet)),
            false => (0.5 + draw, LONGEST_PAUSE),
        };
        let pause = self.next.mul_f64(part);
        self.next = (self.next * 2).min(longest);
        pause
    }
}

#[cfg(test)]
mod tests;
