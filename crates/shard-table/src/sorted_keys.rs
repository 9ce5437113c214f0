//! A sorted list of keys that supports both small and large batches of changes.

/// Maximum batch size for inserting or removing keys one by one. For larger batches, a single pass over the list is
/// cheaper.
const MAX_SINGLE_CHANGES: usize = 16;

/// A set of keys, stored in ascending order.
#[derive(Debug)]
pub struct SortedKeys<K>(Vec<K>);

impl<K> Default for SortedKeys<K> {
    fn default() -> SortedKeys<K> {
        SortedKeys(Vec::new())
    }
}

impl<K: Copy + Ord> SortedKeys<K> {
    /// Returns the keys in ascending order.
    pub fn as_slice(&self) -> &[K] {
        &self.0
    }

    /// Inserts keys, none of which may be in the list yet.
    pub fn insert_all(&mut self, keys: &[K]) {
        if keys.len() > MAX_SINGLE_CHANGES {
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

    /// Removes keys. `keys` must be in ascending order.
    pub fn remove_all(&mut self, keys: &[K]) {
        if keys.len() > MAX_SINGLE_CHANGES {
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
