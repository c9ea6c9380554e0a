//! Maps names to small indices: inside, requests and endpoints are indices that are reused.

use std::collections::HashMap;

/// Short hash of a name (FNV-1a), by which instances refer to an endpoint among themselves.
pub fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// The names of zones and kinds of machine in settings and lists. A host has one of these, so that an index means the
/// same in its terms and in its list entries.
#[derive(Default)]
pub struct Places {
    pub zones: Names,
    pub kinds: Names,
}

/// Assigns an index to each name, and reuses it once the name is released.
///
/// ```
/// let mut names = appledyke::ids::Names::default();
/// let first = names.index("first");
/// assert_eq!((names.index("first"), names.name(first)), (first, "first"));
/// names.release(first);
/// assert_eq!((names.find("first"), names.index("second")), (None, first));
/// ```
#[derive(Default)]
pub struct Names {
    by_name: HashMap<String, usize>,
    by_index: Vec<String>,
    free: Vec<usize>,
}

impl Names {
    pub fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    pub fn name(&self, index: usize) -> &str {
        &self.by_index[index]
    }

    pub fn index(&mut self, name: &str) -> usize {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = self.free.pop().unwrap_or(self.by_index.len());
        if index == self.by_index.len() {
            self.by_index.push(String::new());
        }
        self.by_index[index] = name.to_string();
        self.by_name.insert(name.to_string(), index);
        index
    }

    pub fn release(&mut self, index: usize) {
        if self.by_name.remove(&self.by_index[index]).is_some() {
            self.free.push(index);
        }
    }
}
