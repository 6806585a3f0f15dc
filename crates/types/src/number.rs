//! Numeric newtypes.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use quick_error::quick_error;

quick_error! {
    /// Error for a string that is not a valid number.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NumberError {
        /// The string is not an integer in the range of the type.
        Integer(err: ParseIntError) {
            from()
            display("not a whole number in range: {}", err)
        }
    }
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use camphorloft_types::number::", stringify!($name), ";")]
        #[doc = concat!("let n: ", stringify!($name), " = \"7\".parse().unwrap();")]
        #[doc = concat!("assert_eq!(n, ", stringify!($name), "(7));")]
        /// assert_eq!(n.to_string(), "7");
        /// ```
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next value, saturating at the maximum.
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = NumberError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self(text.parse()?))
            }
        }
    };
}

number_type! {
    /// A number of tokens.
    TokenCount(u32)
}
number_type! {
    /// A size in bytes.
    ByteSize(u64)
}
number_type! {
    /// A rate in bytes per second.
    ByteRate(u64)
}
number_type! {
    /// The version of a published object set. Version 0 means that no version is known.
    ConfigVersion(u64)
}
number_type! {
    /// A fencing token issued with a lease. A larger token supersedes a smaller one.
    FencingToken(u64)
}
number_type! {
    /// The incarnation of a host in the membership protocol.
    Incarnation(u64)
}
number_type! {
    /// A share relative to the other weights of the same kind.
    Weight(u32)
}
