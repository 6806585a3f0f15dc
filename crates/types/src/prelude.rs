//! Common imports.

pub use crate::generation::{Attempt, GenerationId};
pub use crate::index::{EndpointIx, OrganisationIx, RouteIx, ServiceIx};
pub use crate::name::{
    AdapterName, AvailabilityZone, EndpointName, HostName, ModelName, NameError, ObjectiveName,
    OrganisationName, PoolName, Region, RouteName, ServiceName,
};
pub use crate::number::{
    ByteRate, ByteSize, ConfigVersion, FencingToken, Incarnation, NumberError, TokenCount, Weight,
};
pub use crate::outcome::Outcome;
pub use crate::request_feature::RequestFeature;
pub use crate::request_rate::{RequestRate, RequestRateError};
pub use crate::software_version::{SoftwareVersion, SoftwareVersionError};
