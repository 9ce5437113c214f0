//! What a head takes in that follows two relays at once. Each relay tells the versions in their order, but one may be
//! behind the other by some. A list that is known already would only take nodes out for a moment, and one that jumps
//! over a version that the head has from the other relay may lack what changed and changed back.

use flaxgap_membership::Source;

/// What to do with a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Take it in, with [`Intake::source`].
    Take,
    /// All that it says is known.
    Known,
    /// Leave it, end this watch and ask the same relay again, with the version that is known.
    AskAgain,
}

/// The place of one watch in the versions. One is made for each watch that is opened.
#[derive(Debug)]
pub struct Intake {
    source: Source,
    reached: u64,
}

impl Intake {
    /// For a watch that asks for what came after a version; 0 for the whole list.
    pub fn new(since: u64) -> Intake {
        Intake { source: Source::at(since), reached: since }
    }

    /// What membership keeps of this watch.
    pub fn source(&mut self) -> &mut Source {
        &mut self.source
    }

    /// The same relay is asked once more, for what came after a version; 0 for the whole list. What is known of its being
    /// behind stands.
    pub fn asks(&mut self, since: u64) {
        self.reached = since;
    }

    /// Whether the watch has been behind for so long that its relay is to be asked for the whole list.
    pub fn wants_whole(&self, now: f64) -> bool {
        self.source.counts_anew(now)
    }

    /// What to do with a list of this watch: its version, whether it is whole, and the version that membership knows. One
    /// that is behind goes to membership in any case once a whole list has shown it to be.
    pub fn consider(&mut self, version: u64, whole: bool, known: u64) -> Verdict {
        let before = std::mem::replace(&mut self.reached, version);
        if whole || self.source.is_behind() {
            return Verdict::Take;
        }
        if version < known {
            return Verdict::Known;
        }
        if before < known && known < version {
            return Verdict::AskAgain;
        }
        Verdict::Take
    }
}
