//! Compression of object sets.
//!
//! A set may hold thousands of routes, and all hosts fetch it from each other at the same time, some
//! of them over a slow link. Routes are similar to each other, so that a set compresses to a tenth
//! of its size or less.

use std::fmt;
use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Maximum size of a decompressed set, in bytes. Several times the largest value that the registry
/// stores.
pub const MAX_UNPACKED_BYTES: u64 = 16 << 20;

/// A compressed object set.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct PackedSet(Bytes);

impl PackedSet {
    /// Compresses a set.
    ///
    /// # Errors
    ///
    /// Returns an error when the encoder fails.
    ///
    /// ```
    /// use camphorloft_peer::packed::PackedSet;
    /// let set = "route ".repeat(1_000);
    /// let packed = PackedSet::pack(set.as_bytes()).unwrap();
    /// assert!(packed.bytes().len() < set.len() / 10);
    /// assert_eq!(packed.unpack().unwrap(), set.as_bytes());
    /// ```
    pub fn pack(set: &[u8]) -> io::Result<Self> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(set)?;
        Ok(Self(Bytes::from(encoder.finish()?)))
    }

    /// Decompresses the set.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are not valid compressed data, or when the set is larger than
    /// [`MAX_UNPACKED_BYTES`].
    pub fn unpack(&self) -> io::Result<Vec<u8>> {
        let mut set = Vec::new();
        let limit = MAX_UNPACKED_BYTES + 1;
        DeflateDecoder::new(self.0.as_ref()).take(limit).read_to_end(&mut set)?;
        match set.len() as u64 > MAX_UNPACKED_BYTES {
            true => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "decompressed set exceeds the size limit",
            )),
            false => Ok(set),
        }
    }

    /// Returns the compressed bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }

    /// Returns true when there are no compressed bytes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<Vec<u8>> for PackedSet {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Bytes::from(bytes))
    }
}

impl fmt::Debug for PackedSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PackedSet({} bytes)", self.0.len())
    }
}
