//! Tables of numbered slots. A key includes its slot's generation, so a stale key finds nothing.

use mio::Token;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// The peer whose socket a token identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    Listener,
    Signal,
    /// The operators' listener.
    Operators,
    Client(Key),
    Server(Key),
    Discovery(Key),
    Operator(Key),
    /// The fleet's daemon.
    Fleet(Key),
}

/// The number of generations before they wrap around: the bits of a token that the index and the kind of peer leave.
const GENERATIONS: u32 = 1 << 29;

impl Key {
    pub fn index(self) -> usize {
        self.index as usize
    }

    /// A token for a process with a single kind of peer beside its fixed tokens; `of_token` converts it back.
    pub fn only_token(self) -> Token {
        self.token(1)
    }

    pub fn of_token(Token(number): Token) -> Option<Key> {
        let key = Key { index: number as u32, generation: (number >> 32) as u32 % GENERATIONS };
        (number >> 61 == 1).then_some(key)
    }

    fn token(self, kind: usize) -> Token {
        Token(kind << 61 | (self.generation as usize) << 32 | self.index as usize)
    }
}

impl Peer {
    pub fn token(self) -> Token {
        match self {
            Peer::Listener => Token(0),
            Peer::Signal => Token(1),
            Peer::Operators => Token(2),
            Peer::Client(key) => key.token(1),
            Peer::Server(key) => key.token(2),
            Peer::Discovery(key) => key.token(3),
            Peer::Operator(key) => key.token(4),
            Peer::Fleet(key) => key.token(5),
        }
    }

    pub fn of(Token(number): Token) -> Peer {
        let generation = (number >> 32) as u32 % GENERATIONS;
        let key = Key { index: number as u32, generation };
        match number >> 61 {
            0 if number == 0 => Peer::Listener,
            0 if number == 2 => Peer::Operators,
            0 => Peer::Signal,
            1 => Peer::Client(key),
            2 => Peer::Server(key),
            3 => Peer::Discovery(key),
            4 => Peer::Operator(key),
            _ => Peer::Fleet(key),
        }
    }
}

/// Values in slots that are reused, each time with a new generation.
pub struct Slots<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slots<T> {
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Inserts the value that `make` returns for its key.
    pub fn insert_with<E>(&mut self, make: impl FnOnce(Key) -> Result<T, E>) -> Result<Key, E> {
        let index = self.free.last().copied().unwrap_or(self.slots.len() as u32);
        let generation = self.slots.get(index as usize).map_or(0, |slot| slot.0);
        let key = Key { index, generation };
        let value = make(key)?;
        match self.free.pop() {
            Some(_) => self.slots[key.index()].1 = Some(value),
            None => self.slots.push((0, Some(value))),
        }
        Ok(key)
    }

    pub fn get(&self, key: Key) -> Option<&T> {
        self.slots.get(key.index()).filter(|slot| slot.0 == key.generation)?.1.as_ref()
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.slots.get_mut(key.index()).filter(|slot| slot.0 == key.generation)?.1.as_mut()
    }

    pub fn remove(&mut self, key: Key) -> Option<T> {
        let slot = self.slots.get_mut(key.index()).filter(|slot| slot.0 == key.generation)?;
        let value = slot.1.take()?;
        slot.0 = (slot.0 + 1) % GENERATIONS;
        self.free.push(key.index);
        Some(value)
    }

    /// The key of the value in this slot now.
    pub fn key_at(&self, index: usize) -> Option<Key> {
        let (generation, value) = self.slots.get(index)?;
        value.as_ref().map(|_| Key { index: index as u32, generation: *generation })
    }

    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        let keys = (0..self.slots.len()).filter_map(|at| self.key_at(at));
        keys.filter_map(|key| Some((key, self.get(key)?)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stale_token_finds_nothing() {
        let mut slots = Slots::default();
        let first = slots.insert_with(|_| Ok::<_, ()>('a')).unwrap();
        assert_eq!(Peer::of(Peer::Server(first).token()), Peer::Server(first));
        assert_eq!(slots.remove(first), Some('a'));
        let second = slots.insert_with(|_| Ok::<_, ()>('b')).unwrap();
        assert_eq!(second.index(), first.index());
        assert_eq!((slots.remove(first), slots.get(first), slots.get(second)), (None, None, Some(&'b')));
        assert_eq!(slots.len(), 1);
    }
}
