//! String identifiers.
//!
//! A name has 1 to 64 bytes of lower-case ASCII letters, digits, `-`, `_` and `.`, and starts
//! with a letter or digit, so that it can be used in a URL path, a metric label and a table key
//! without escaping.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

quick_error! {
    /// Error for a string that is not a valid name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NameError {
        /// The string is empty.
        Empty {
            display("a name must not be empty")
        }
        /// The string exceeds [`MAX_NAME_BYTES`].
        TooLong(bytes: usize) {
            display("a name has at most {} bytes, this one has {}", MAX_NAME_BYTES, bytes)
        }
        /// The string contains a character outside the accepted set.
        BadCharacter(character: char, offset: usize) {
            display("character {:?} at byte {} is not allowed in a name (a-z, 0-9, '-', '_', '.')",
                character, offset)
        }
    }
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    for (offset, c) in text.char_indices() {
        let alphanumeric = c.is_ascii_lowercase() || c.is_ascii_digit();
        let separator = matches!(c, '-' | '_' | '.') && offset > 0;
        if !alphanumeric && !separator {
            return Err(NameError::BadCharacter(c, offset));
        }
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use camphorloft_types::name::", stringify!($name), ";")]
        #[doc = concat!("let name: ", stringify!($name), " = \"a-1\".parse().unwrap();")]
        /// assert_eq!(name.to_string(), "a-1");
        #[doc = concat!("assert!(\"No spaces\".parse::<", stringify!($name), ">().is_err());")]
        /// ```
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type! {
    /// Identifies an organisation (a tenant).
    OrganisationName
}
name_type! {
    /// Identifies a route. Requests to the daemon select a route by this name.
    RouteName
}
name_type! {
    /// Identifies a model.
    ModelName
}
name_type! {
    /// Identifies an adapter of a model.
    AdapterName
}
name_type! {
    /// Identifies a pool of endpoints.
    PoolName
}
name_type! {
    /// Identifies an endpoint, the address of one replica.
    EndpointName
}
name_type! {
    /// Identifies a service.
    ServiceName
}
name_type! {
    /// Identifies an objective, a set of weights for the placement policy.
    ObjectiveName
}
name_type! {
    /// Identifies a host that runs the daemon.
    HostName
}
name_type! {
    /// Identifies an availability zone.
    AvailabilityZone
}
name_type! {
    /// Identifies a region.
    Region
}
