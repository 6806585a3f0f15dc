//! Compresses large object sets.
//!
//! Answers a set of thousands of routes that all hosts fetch from each other at the same time, some
//! of them over a slow link. Routes resemble each other, so that a set shrinks to a tenth or less.

use std::fmt;
use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Largest set that is unpacked, in bytes: several times what the registry holds in one value.
pub const MAX_UNPACKED_BYTES: u64 = 16 << 20;

/// A compressed set.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Packed(Bytes);

impl Packed {
    /// Compresses a set.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoder.
    ///
    /// ```
    /// use camphorloft_peer::packed::Packed;
    /// let set = "route ".repeat(1_000);
    /// let packed = Packed::pack(set.as_bytes()).unwrap();
    /// assert!(packed.bytes().len() < set.len() / 10);
    /// assert_eq!(packed.unpack().unwrap(), set.as_bytes());
    /// ```
    pub fn pack(set: &[u8]) -> io::Result<Self> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(set)?;
        Ok(Self(Bytes::from(encoder.finish()?)))
    }

    /// Returns the set.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are not a compressed set, or a set that is too large.
    pub fn unpack(&self) -> io::Result<Vec<u8>> {
        let mut set = Vec::new();
        let limit = MAX_UNPACKED_BYTES + 1;
        DeflateDecoder::new(self.0.as_ref()).take(limit).read_to_end(&mut set)?;
        match set.len() as u64 > MAX_UNPACKED_BYTES {
            true => Err(io::Error::new(io::ErrorKind::InvalidData, "the set is too large")),
            false => Ok(set),
        }
    }

    /// Returns the compressed bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }

    /// Returns true when there is no set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<Vec<u8>> for Packed {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Bytes::from(bytes))
    }
}

impl fmt::Debug for Packed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Packed({} bytes)", self.0.len())
    }
}
