//! A sorted list of keys that changes by few or by many at a time.

/// Up to this many keys are inserted or removed one by one; for more, one pass over the list costs less.
const ONE_BY_ONE_MAX: usize = 16;

/// Keys in ascending order, without duplicates.
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

    /// Inserts keys that are not in the list.
    pub fn insert_all(&mut self, keys: &[K]) {
        if keys.len() > ONE_BY_ONE_MAX {
            self.0.extend(keys);
            self.0.sort();
            return;
        }
        for key in keys {
            if let Err(index) = self.0.binary_search(key) {
                self.0.insert(index, *key);
            }
        }
    }

    /// Removes keys, which are in ascending order.
    pub fn remove_all(&mut self, keys: &[K]) {
        if keys.len() > ONE_BY_ONE_MAX {
            self.0.retain(|key| keys.binary_search(key).is_err());
            return;
        }
        for key in keys {
            if let Ok(index) = self.0.binary_search(key) {
                self.0.remove(index);
            }
        }
    }
}
