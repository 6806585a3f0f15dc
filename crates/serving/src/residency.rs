//! The regions in which a request may be processed.

use std::fmt;
use std::sync::Arc;

use camphorloft_types::prelude::{NameError, Region};

/// The regions in which a request may be served, cached and stored.
///
/// Cloning it does not copy the regions, and each operation on an unrestricted one costs a comparison.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Residency {
    /// The allowed regions, sorted and without duplicates; `None` if all are allowed.
    regions: Option<Arc<[Region]>>,
}

impl Residency {
    /// Allows all regions.
    pub const UNRESTRICTED: Self = Self { regions: None };

    /// Allows only the given regions, none if there are none.
    ///
    /// ```
    /// use camphorloft_serving::prelude::Residency;
    /// let [north, south] = ["north", "south"].map(|region| region.parse().unwrap());
    /// let residency = Residency::restricted_to([north]);
    /// assert!(!residency.allows(&south));
    /// assert!(Residency::restricted_to([]).is_empty());
    /// ```
    pub fn restricted_to<Regions>(regions: Regions) -> Self
    where
        Regions: IntoIterator<Item = Region>,
    {
        let mut regions: Vec<Region> = regions.into_iter().collect();
        regions.sort_unstable();
        regions.dedup();
        Self { regions: Some(regions.into()) }
    }

    /// Returns the residency that a list of names stands for: an empty list allows all regions. Names that
    /// no region can have allow nothing and are returned with their positions.
    pub(crate) fn from_names(names: &[String]) -> (Self, Vec<(usize, NameError)>) {
        if names.is_empty() {
            return (Self::UNRESTRICTED, Vec::new());
        }
        let (mut regions, mut malformed) = (Vec::with_capacity(names.len()), Vec::new());
        for (position, name) in names.iter().enumerate() {
            match name.parse::<Region>() {
                Ok(region) => regions.push(region),
                Err(err) => malformed.push((position, err)),
            }
        }
        (Self::restricted_to(regions), malformed)
    }

    /// Returns true if all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.regions.is_none()
    }

    /// Returns true if no region is allowed.
    pub fn is_empty(&self) -> bool {
        self.regions.as_ref().is_some_and(|regions| regions.is_empty())
    }

    /// Returns the allowed regions, in order; none if all are allowed.
    pub fn regions(&self) -> &[Region] {
        self.regions.as_deref().unwrap_or_default()
    }

    /// Returns true if a region is allowed.
    pub fn allows(&self, region: &Region) -> bool {
        match &self.regions {
            None => true,
            // The lists are short: a search that halves them would compare as many names.
            Some(regions) => regions.contains(region),
        }
    }

    /// Returns true if a place is allowed. One whose region is not known is allowed only if all regions
    /// are.
    ///
    /// ```
    /// use camphorloft_serving::prelude::Residency;
    /// let residency = Residency::restricted_to(["north".parse().unwrap()]);
    /// assert!(!residency.allows_place(None));
    /// assert!(Residency::UNRESTRICTED.allows_place(None));
    /// ```
    pub fn allows_place(&self, region: Option<&Region>) -> bool {
        self.is_unrestricted() || region.is_some_and(|region| self.allows(region))
    }

    /// Returns the regions that both allow.
    ///
    /// ```
    /// use camphorloft_serving::prelude::Residency;
    /// let [north, south] = ["north", "south"].map(|region| region.parse().unwrap());
    /// let route = Residency::restricted_to([north, south]);
    /// let organisation = Residency::restricted_to(["south".parse().unwrap()]);
    /// assert_eq!(route.intersection(&organisation).to_string(), "south");
    /// assert_eq!(route.intersection(&Residency::UNRESTRICTED), route);
    /// ```
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.regions, &other.regions) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(regions), Some(_)) => {
                let both = regions.iter().filter(|region| other.allows(region));
                Self { regions: Some(both.cloned().collect()) }
            }
        }
    }

    /// Returns true if both are restricted and no region is allowed by both.
    pub fn excludes(&self, other: &Self) -> bool {
        let is_restricted = !self.is_unrestricted() && !other.is_unrestricted();
        is_restricted && !self.regions().iter().any(|region| other.allows(region))
    }

    /// Returns the allowed regions for the log, `None` if all are allowed.
    pub fn log_text(&self) -> Option<String> {
        (!self.is_unrestricted()).then(|| self.to_string())
    }
}

impl Default for &Residency {
    fn default() -> Self {
        &Residency::UNRESTRICTED
    }
}

impl fmt::Display for Residency {
    /// Writes the regions, separated by commas; `any` if all are allowed, and `none` if none is.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.regions {
            None => f.write_str("any"),
            Some(regions) if regions.is_empty() => f.write_str("none"),
            Some(regions) => {
                for (position, region) in regions.iter().enumerate() {
                    let separator = if position > 0 { "," } else { "" };
                    write!(f, "{separator}{region}")?;
                }
                Ok(())
            }
        }
    }
}
