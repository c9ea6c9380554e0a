//! Versions of the settings.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A version of the settings. Restoring from a backup begins a new generation, so that later versions compare greater than
/// all from before the restore.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    pub generation: u64,
    pub number: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}.{}", self.generation, self.number)
    }
}

impl FromStr for Version {
    type Err = String;
    fn from_str(text: &str) -> Result<Version, String> {
        let parts = text.split_once('.').map(|(generation, number)| (generation.parse(), number.parse()));
        match parts {
            Some((Ok(generation), Ok(number))) => Ok(Version { generation, number }),
            _ => Err(format!("expected a version such as 0.3, not '{text}'")),
        }
    }
}
