//! A sorted list of keys that changes by few or by many at a time.

/// Up to so many keys are put in or taken out one by one; for more, one pass over the list costs less.
const FEW: usize = 16;

/// Keys in their order, without repeats.
#[derive(Debug)]
pub struct SortedKeys<K>(Vec<K>);

impl<K> Default for SortedKeys<K> {
    fn default() -> SortedKeys<K> {
        SortedKeys(Vec::new())
    }
}

impl<K: Copy + Ord> SortedKeys<K> {
    /// The keys.
    pub fn as_slice(&self) -> &[K] {
        &self.0
    }

    /// Puts in keys that are not in it.
    pub fn insert_all(&mut self, keys: &[K]) {
        if keys.len() > FEW {
            self.0.extend(keys);
            self.0.sort();
            return;
        }
        for key in keys {
            if let Err(place) = self.0.binary_search(key) {
                self.0.insert(place, *key);
            }
        }
    }

    /// Takes out sorted keys.
    pub fn remove_all(&mut self, keys: &[K]) {
        if keys.len() > FEW {
            return self.0.retain(|key| keys.binary_search(key).is_err());
        }
        for key in keys {
            if let Ok(place) = self.0.binary_search(key) {
                self.0.remove(place);
            }
        }
    }
}
