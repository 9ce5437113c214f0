//! Looks at a condition over a window: no single sample moves a level.

use std::collections::VecDeque;

/// What one look at a condition showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It holds.
    Holds,
    /// It does not.
    Fails,
    /// A reading that it needs is stale or missing.
    Unknown,
}

/// The looks of the last so many seconds.
#[derive(Clone, Debug)]
pub struct Window {
    span: f64,
    least: usize,
    looks: VecDeque<(f64, Verdict)>,
    holds: usize,
    known_at: Option<f64>,
}

impl Window {
    /// An empty window of `span` seconds, with `least` looks before it says anything: a caller that stood still
    /// for long has not looked.
    pub fn new(span: f64, least: usize) -> Window {
        Window { span, least, looks: VecDeque::new(), holds: 0, known_at: None }
    }

    /// Takes a look in and lets those go that are older than the window.
    pub fn look(&mut self, now: f64, verdict: Verdict) {
        if verdict != Verdict::Unknown {
            self.known_at = Some(now);
        }
        self.holds += usize::from(verdict == Verdict::Holds);
        self.looks.push_back((now, verdict));
        // One look from before the window stays: it shows that the window is covered.
        while self.looks.get(1).is_some_and(|(at, _)| now - at >= self.span) {
            let gone = self.looks.pop_front();
            self.holds -= usize::from(gone.is_some_and(|(_, v)| v == Verdict::Holds));
        }
    }

    /// The part of the looks at which the condition held; none until looks cover the window. What was unknown did
    /// not hold.
    pub fn part(&self, now: f64) -> Option<f64> {
        let (first, _) = self.looks.front()?;
        (now - first >= self.span && self.looks.len() >= self.least)
            .then(|| self.holds as f64 / self.looks.len() as f64)
    }

    /// When the condition was last known, either way.
    pub fn known_at(&self) -> Option<f64> {
        self.known_at
    }

    /// Forgets the looks: what comes after a change of level is judged by what came after it.
    pub fn clear(&mut self) {
        (self.looks, self.holds) = (VecDeque::new(), 0);
    }
}

#[cfg(test)]
mod tests;
