//! Idempotency keys, which make it safe to re-send a request that must not run
//! twice.
//!
//! An issued key contains the host and incarnation of the daemon that issued it,
//! and a serial. That daemon is its owner and recognises it without a clock or a
//! consensus protocol. An opaque key is text that a caller chose; its owner is
//! computed from the targets of the service.

use std::fmt;
use std::str::FromStr;

use rand::RngCore;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;
use thiserror::Error;

/// The prefix of the text of every issued key. Opaque keys must not have it.
pub const ISSUED_PREFIX: &str = "rgk1.";

/// The greatest length of a key's text, in bytes, which bounds the memory of a
/// record.
pub const MAX_KEY_LENGTH: usize = 255;

/// Identifies a request across its re-sends.
///
/// # Examples
///
/// ```
/// use radishgauge_traffic::key::IdempotencyKey;
///
/// let key: IdempotencyKey = "order-7781".parse()?;
/// assert_eq!(key.to_string(), "order-7781");
/// assert!("rgk1.addis-bole-1".parse::<IdempotencyKey>().is_err());
/// # Ok::<(), radishgauge_traffic::key::KeyFault>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum IdempotencyKey {
    /// A key issued by a daemon, which is its owner.
    Issued(IssuedKey),
    /// A key chosen by a caller: 1 to 255 visible ASCII characters.
    Opaque(SmolStr),
}

/// A key that a daemon issued.
///
/// The text form is `rgk1.<host>.<incarnation>.<serial>.<nonce>`. The three
/// numbers are in lower-case hexadecimal; the nonce has 16 digits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IssuedKey {
    /// The host of the daemon that issued the key.
    pub host: SmolStr,
    /// The incarnation of that daemon, in ms since the Unix epoch.
    pub incarnation: u64,
    /// The number of keys that the incarnation issued before this one.
    pub serial: u64,
    /// A pseudo-random number that makes the keys of other callers hard to guess.
    pub nonce: u64,
}

/// The reason that a text is not an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyFault {
    /// The text is empty.
    #[error("idempotency key: empty; accepted: 1 to {MAX_KEY_LENGTH} visible ASCII characters")]
    Empty,
    /// The text is longer than [`MAX_KEY_LENGTH`]; contains its length in bytes.
    #[error("idempotency key: {0} bytes; accepted: 1 to {MAX_KEY_LENGTH}")]
    TooLong(usize),
    /// A byte is not a visible ASCII character.
    #[error(
        "idempotency key: byte 0x{byte:02x} at position {position}; accepted: visible ASCII characters 0x21 to 0x7e"
    )]
    NotVisible {
        /// The value of the byte.
        byte: u8,
        /// The position of the byte in the text, from 0.
        position: usize,
    },
    /// A part of an issued key is missing.
    #[error(
        "idempotency key: {part} is missing; accepted after `{ISSUED_PREFIX}`: <host>.<incarnation>.<serial>.<nonce>"
    )]
    Missing {
        /// The name of the part.
        part: &'static str,
    },
    /// A part of an issued key is not a number of the accepted form.
    #[error("idempotency key: {part} `{found}`; accepted: {accepted}")]
    NotNumber {
        /// The name of the part.
        part: &'static str,
        /// The text found.
        found: SmolStr,
        /// The accepted form.
        accepted: &'static str,
    },
}

impl IdempotencyKey {
    /// Returns the memory that the key allocates on the heap, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let text = match self {
            IdempotencyKey::Issued(key) => &key.host,
            IdempotencyKey::Opaque(text) => text,
        };
        if text.is_heap_allocated() {
            text.len()
        } else {
            0
        }
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyFault;

    fn from_str(text: &str) -> Result<IdempotencyKey, KeyFault> {
        if text.is_empty() {
            return Err(KeyFault::Empty);
        }
        if text.len() > MAX_KEY_LENGTH {
            return Err(KeyFault::TooLong(text.len()));
        }
        if let Some(position) = text.bytes().position(|byte| !byte.is_ascii_graphic()) {
            let byte = text.as_bytes()[position];
            return Err(KeyFault::NotVisible { byte, position });
        }
        match text.strip_prefix(ISSUED_PREFIX) {
            Some(rest) => IssuedKey::parse_parts(rest).map(IdempotencyKey::Issued),
            None => Ok(IdempotencyKey::Opaque(SmolStr::new(text))),
        }
    }
}

impl IssuedKey {
    fn parse_parts(rest: &str) -> Result<IssuedKey, KeyFault> {
        // A host name may contain dots, so the text is split from the right.
        let mut parts = rest.rsplitn(4, '.');
        let nonce = parts.next().unwrap_or_default();
        let serial = parts.next().ok_or(KeyFault::Missing { part: "serial" })?;
        let incarnation = parts.next().ok_or(KeyFault::Missing {
            part: "incarnation",
        })?;
        let host = parts.next().unwrap_or_default();
        if host.is_empty() {
            return Err(KeyFault::Missing { part: "host" });
        }
        if nonce.len() != 16 {
            return Err(KeyFault::NotNumber {
                part: "nonce",
                found: SmolStr::new(nonce),
                accepted: "16 hexadecimal digits in lower case",
            });
        }
        Ok(IssuedKey {
            host: SmolStr::new(host),
            incarnation: parse_number("incarnation", incarnation)?,
            serial: parse_number("serial", serial)?,
            nonce: parse_number("nonce", nonce)?,
        })
    }
}

fn parse_number(part: &'static str, text: &str) -> Result<u64, KeyFault> {
    let digits = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    // `from_str_radix` alone would also accept a sign and upper-case digits.
    if text.bytes().all(digits)
        && let Ok(number) = u64::from_str_radix(text, 16)
    {
        return Ok(number);
    }
    Err(KeyFault::NotNumber {
        part,
        found: SmolStr::new(text),
        accepted: "1 to 16 hexadecimal digits in lower case",
    })
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdempotencyKey::Issued(key) => key.fmt(f),
            IdempotencyKey::Opaque(text) => f.write_str(text),
        }
    }
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{ISSUED_PREFIX}{}.{:x}.{:x}.{:016x}",
            self.host, self.incarnation, self.serial, self.nonce
        )
    }
}

/// Issues the keys of one incarnation of a daemon.
///
/// The issuer stores no list of its keys. The nonce is a function of the seed and
/// the serial, so the issuer can recompute it to verify a key.
#[derive(Debug, Clone)]
pub struct KeyIssuer {
    host: SmolStr,
    incarnation: u64,
    seed: [u8; 32],
    next: u64,
}

/// Where an issued key comes from, as its issuer can verify.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOrigin {
    /// This incarnation issued the key.
    Issued,
    /// Another host issued the key.
    OtherHost,
    /// Another incarnation of this host issued the key.
    OtherIncarnation,
    /// The key names this incarnation, but this incarnation did not issue it.
    Forged,
}

impl KeyIssuer {
    /// Creates an issuer for one incarnation of the daemon on `host`.
    ///
    /// The seed must be random and kept secret, as anyone who knows it can forge
    /// keys.
    pub fn new(host: &str, incarnation: u64, seed: [u8; 32]) -> KeyIssuer {
        KeyIssuer {
            host: SmolStr::new(host),
            incarnation,
            seed,
            next: 0,
        }
    }

    /// Returns the host that the issued keys contain.
    pub fn host(&self) -> &SmolStr {
        &self.host
    }

    /// Returns the incarnation that the issued keys contain, in ms since the Unix
    /// epoch.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Issues a key that differs from every key issued before.
    pub fn issue(&mut self) -> IssuedKey {
        let serial = self.next;
        self.next += 1;
        IssuedKey {
            host: self.host.clone(),
            incarnation: self.incarnation,
            serial,
            nonce: self.nonce(serial),
        }
    }

    /// Verifies whether this incarnation issued `key`.
    pub fn origin(&self, key: &IssuedKey) -> KeyOrigin {
        if key.host != self.host {
            KeyOrigin::OtherHost
        } else if key.incarnation != self.incarnation {
            KeyOrigin::OtherIncarnation
        } else if key.serial >= self.next || key.nonce != self.nonce(key.serial) {
            KeyOrigin::Forged
        } else {
            KeyOrigin::Issued
        }
    }

    fn nonce(&self, serial: u64) -> u64 {
        let mut seed = self.seed;
        for (byte, mask) in seed.iter_mut().zip(serial.to_le_bytes()) {
            *byte ^= mask;
        }
        // A cipher-based generator: known nonces do not reveal other nonces.
        StdRng::from_seed(seed).next_u64()
    }
}
