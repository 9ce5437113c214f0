//! Assigns numbers to the names of zones.

use std::collections::HashMap;
use std::rc::Rc;

/// The names of zones, numbered in the order in which they were first seen. Zones beyond the range of numbers share
/// [`u16::MAX`].
#[derive(Debug, Default)]
pub(crate) struct Zones {
    names: Vec<Rc<str>>,
    numbers: HashMap<Rc<str>, u16>,
}

impl Zones {
    /// Returns the number of a zone, and assigns one if the zone is new.
    pub(crate) fn number_of(&mut self, name: &str) -> u16 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let Ok(number) = u16::try_from(self.names.len()) else {
            return u16::MAX;
        };
        let name: Rc<str> = name.into();
        self.names.push(name.clone());
        self.numbers.insert(name, number);
        number
    }

    /// The name of a zone; empty if the number is not assigned.
    pub(crate) fn name_of(&self, number: u16) -> &str {
        match self.names.get(usize::from(number)) {
            Some(name) => name,
            None => "",
        }
    }
}
