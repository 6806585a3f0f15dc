//! A rate of requests.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;

/// Largest rate that is accepted, in requests per second.
const MAX_PER_SECOND: f64 = 1e9;

quick_error! {
    /// Error for a value that is not a rate of requests.
    #[derive(Debug, Clone, PartialEq)]
    pub enum RequestRateError {
        /// The string is not a decimal number.
        NotANumber(text: String) {
            display("not a decimal number: {:?}", text)
        }
        /// The number is negative, not finite or too large.
        OutOfRange(per_second: f64) {
            display("not a rate from 0 to {} requests per second: {}", MAX_PER_SECOND, per_second)
        }
    }
}

/// A rate of requests, in requests per second. Finite and not negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the number of requests in a period.
    ///
    /// ```
    /// use camphorloft_types::request_rate::RequestRate;
    /// use std::time::Duration;
    /// let rate: RequestRate = "2.5".parse().unwrap();
    /// assert_eq!(rate.requests_in(Duration::from_secs(4)), 10.0);
    /// ```
    pub fn requests_in(self, period: Duration) -> f64 {
        self.0 * period.as_secs_f64()
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RequestRateError;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        match (0.0..=MAX_PER_SECOND).contains(&per_second) {
            true => Ok(Self(per_second)),
            false => Err(RequestRateError::OutOfRange(per_second)),
        }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = RequestRateError;

    /// ```
    /// use camphorloft_types::request_rate::RequestRate;
    /// assert_eq!("5.6".parse::<RequestRate>().unwrap().to_string(), "5.6");
    /// for text in ["-1", "NaN", "inf", "1e99", "soon", ""] {
    ///     assert!(text.parse::<RequestRate>().is_err());
    /// }
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second: f64 =
            text.trim().parse().map_err(|_| RequestRateError::NotANumber(text.to_owned()))?;
        Self::try_from(per_second)
    }
}
