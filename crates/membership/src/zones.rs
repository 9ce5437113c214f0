//! Zones by number.

use std::collections::HashMap;
use std::rc::Rc;

/// The names of zones, in the order in which they came. All past the last number share it.
#[derive(Debug, Default)]
pub(crate) struct Zones {
    names: Vec<Rc<str>>,
    numbers: HashMap<Rc<str>, u16>,
}

impl Zones {
    pub(crate) fn number(&mut self, name: &str) -> u16 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let Ok(number) = u16::try_from(self.names.len()) else { return u16::MAX };
        let name: Rc<str> = name.into();
        self.names.push(name.clone());
        self.numbers.insert(name, number);
        number
    }

    pub(crate) fn name(&self, number: u16) -> &str {
        self.names.get(usize::from(number)).map_or("", |name| name)
    }
}
