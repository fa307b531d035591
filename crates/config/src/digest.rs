//! Digests that identify the parts and pages of a packed configuration.
//!
//! A value is fetched by the digest of its bytes. A reader therefore detects a
//! value that mixes bytes of two versions or that belongs to another version.

use std::fmt;
use std::str::FromStr;

/// The first 16 bytes of the BLAKE3 hash of a value.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartDigest([u8; PartDigest::LEN]);

impl PartDigest {
    /// The length of a digest, in bytes.
    pub const LEN: usize = 16;

    /// Returns the digest of a value.
    ///
    /// # Examples
    ///
    /// ```
    /// use radishgauge_config::PartDigest;
    ///
    /// let digest = PartDigest::of(b"value");
    /// assert_eq!(digest.to_string().parse(), Ok(digest));
    /// assert_ne!(digest, PartDigest::of(b"other"));
    /// ```
    pub fn of(value: &[u8]) -> PartDigest {
        let hash = blake3::hash(value);
        let mut bytes = [0; PartDigest::LEN];
        bytes.copy_from_slice(&hash.as_bytes()[..PartDigest::LEN]);
        PartDigest(bytes)
    }

    /// Returns the [`PartDigest::LEN`] bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// The error for a text or byte string that is not a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a digest has 16 bytes, or 32 hexadecimal digits as text")]
pub struct DigestError;

impl TryFrom<&[u8]> for PartDigest {
    type Error = DigestError;

    fn try_from(bytes: &[u8]) -> Result<PartDigest, DigestError> {
        bytes.try_into().map(PartDigest).map_err(|_| DigestError)
    }
}

impl FromStr for PartDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<PartDigest, DigestError> {
        if text.len() != 2 * PartDigest::LEN || !text.is_ascii() {
            return Err(DigestError);
        }
        let mut bytes = [0; PartDigest::LEN];
        for (byte, at) in bytes.iter_mut().zip((0..text.len()).step_by(2)) {
            *byte = u8::from_str_radix(&text[at..at + 2], 16).map_err(|_| DigestError)?;
        }
        Ok(PartDigest(bytes))
    }
}

impl fmt::Display for PartDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for PartDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PartDigest({self})")
    }
}
