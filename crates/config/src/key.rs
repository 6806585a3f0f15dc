//! The kind and name of an object.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

/// Kind of a configured object, in the order used for object keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A model.
    Model,
    /// An adapter of a model.
    Adapter,
    /// A pool of endpoints.
    Pool,
    /// Weights for the placement policy.
    Objective,
    /// An organisation.
    Organisation,
    /// A route. Requests select a route by its name.
    Route,
    /// A plain service, whose endpoints are not engines.
    Service,
}

/// All kinds, in order.
pub const KINDS: [Kind; 7] = [
    Kind::Model,
    Kind::Adapter,
    Kind::Pool,
    Kind::Objective,
    Kind::Organisation,
    Kind::Route,
    Kind::Service,
];

impl Kind {
    /// Returns the name of the top-level JSON member that contains the objects of this kind.
    pub fn member(self) -> &'static str {
        match self {
            Kind::Model => "models",
            Kind::Adapter => "adapters",
            Kind::Pool => "pools",
            Kind::Objective => "objectives",
            Kind::Organisation => "organisations",
            Kind::Route => "routes",
            Kind::Service => "services",
        }
    }
}

quick_error! {
    /// Error for a string that is not a valid object key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyError {
        /// The string is not `KIND/NAME` with a known kind.
        Format(text: String) {
            display("{:?} is not KIND/NAME, where KIND is one of models, adapters, pools, \
                objectives, organisations, routes, services", text)
        }
    }
}

/// Kind and name of an object, written as in `routes/verdict`.
///
/// ```
/// use camphorloft_config::ObjectKey;
/// let key: ObjectKey = "routes/verdict".parse().unwrap();
/// assert_eq!(key.to_string(), "routes/verdict");
/// assert!("verdict".parse::<ObjectKey>().is_err());
/// ```
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object within its kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.member(), self.name)
    }
}

impl FromStr for ObjectKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let format = || KeyError::Format(text.to_owned());
        let (member, name) = text.split_once('/').ok_or_else(format)?;
        let kind = KINDS.into_iter().find(|k| k.member() == member).ok_or_else(format)?;
        Ok(Self { kind, name: name.to_owned() })
    }
}

impl TryFrom<String> for ObjectKey {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ObjectKey> for String {
    fn from(key: ObjectKey) -> String {
        key.to_string()
    }
}
