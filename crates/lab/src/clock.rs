//! Virtual time: what is due, in order, and by the order of its planning where two things fall due together.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<E> {
    at: f64,
    turn: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap gives the greatest first.
        other.at.total_cmp(&self.at).then(other.turn.cmp(&self.turn))
    }
}

/// What is due, and the moment that was reached.
pub struct Agenda<E> {
    now: f64,
    turn: u64,
    due: BinaryHeap<Entry<E>>,
}

impl<E> Default for Agenda<E> {
    fn default() -> Self {
        Agenda { now: 0.0, turn: 0, due: BinaryHeap::new() }
    }
}

impl<E> Agenda<E> {
    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// Plans something, now at the earliest.
    pub fn plan(&mut self, at: f64, event: E) {
        self.turn += 1;
        self.due.push(Entry { at: at.max(self.now), turn: self.turn, event });
    }

    /// Goes on to what is due next.
    pub fn advance(&mut self) -> Option<E> {
        let Entry { at, event, .. } = self.due.pop()?;
        self.now = at;
        Some(event)
    }
}

#[cfg(test)]
mod tests;
