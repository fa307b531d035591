//! Idempotency keys, which let a request that may not be repeated be sent again.
//!
//! An issued key names the daemon, the incarnation and the serial it was issued
//! under, so its owner needs neither a clock nor an agreement. An opaque key is
//! a caller's own text; its owner follows from the targets of the service.

use std::fmt;
use std::str::FromStr;

use rand::RngCore;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;
use thiserror::Error;

/// How the text of each issued key begins; no opaque key may begin so.
pub const ISSUED_PREFIX: &str = "rgk1.";

/// The greatest length of a key's text, in bytes; it bounds the memory of a record.
pub const KEY_LENGTH: usize = 255;

/// Names a request across its re-sends.
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
    /// Issued by a daemon, which owns it.
    Issued(IssuedKey),
    /// Chosen by a caller: 1 to 255 visible ASCII characters.
    Opaque(SmolStr),
}

/// A key that a daemon issued.
///
/// The text form is `rgk1.<host>.<incarnation>.<serial>.<nonce>` with the three
/// numbers in hexadecimal, the nonce in 16 digits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IssuedKey {
    /// The host of the daemon that issued the key.
    pub host: SmolStr,
    /// The incarnation of that daemon, in ms since the Unix epoch.
    pub incarnation: u64,
    /// Counts the keys that the incarnation issued, from 0.
    pub serial: u64,
    /// Keeps the keys of others from being guessed.
    pub nonce: u64,
}

/// What is wrong with the text of a key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyFault {
    /// The text is empty.
    #[error("idempotency key: empty; accepted: 1 to {KEY_LENGTH} visible ASCII characters")]
    Empty,
    /// The text is too long.
    #[error("idempotency key: {0} bytes; accepted: 1 to {KEY_LENGTH}")]
    TooLong(usize),
    /// A byte is not a visible ASCII character.
    #[error(
        "idempotency key: byte 0x{byte:02x} at position {position}; accepted: visible ASCII characters 0x21 to 0x7e"
    )]
    NotVisible {
        /// The byte found.
        byte: u8,
        /// Its position, from 0.
        position: usize,
    },
    /// A part of an issued key is absent.
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
    /// Returns the memory that the key holds besides its own size, in bytes.
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
        if text.len() > KEY_LENGTH {
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
        // A host name may hold dots, so the numbers are split off from the right.
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
    // `from_str_radix` alone also takes a sign and upper case.
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
/// Issuing a key costs no memory: the nonce is a function of the seed and the
/// serial, so the issuer recognises its keys without a list of them.
#[derive(Debug, Clone)]
pub struct KeyIssuer {
    host: SmolStr,
    incarnation: u64,
    seed: [u8; 32],
    next: u64,
}

/// What an issuer knows of an issued key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyStanding {
    /// This incarnation issued the key.
    Issued,
    /// Another host issued the key.
    OtherHost,
    /// Another incarnation of this host issued the key.
    OtherIncarnation,
    /// The key names this incarnation, which never issued it.
    Forged,
}

impl KeyIssuer {
    /// Creates the issuer of an incarnation.
    ///
    /// The seed must be random and kept secret: who knows it can guess keys.
    pub fn new(host: &str, incarnation: u64, seed: [u8; 32]) -> KeyIssuer {
        KeyIssuer {
            host: SmolStr::new(host),
            incarnation,
            seed,
            next: 0,
        }
    }

    /// Returns the host that the keys name.
    pub fn host(&self) -> &SmolStr {
        &self.host
    }

    /// Returns the incarnation that the keys name.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Issues a key that no other call returns.
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

    /// Says whether this incarnation issued `key`.
    pub fn standing(&self, key: &IssuedKey) -> KeyStanding {
        if key.host != self.host {
            KeyStanding::OtherHost
        } else if key.incarnation != self.incarnation {
            KeyStanding::OtherIncarnation
        } else if key.serial >= self.next || key.nonce != self.nonce(key.serial) {
            KeyStanding::Forged
        } else {
            KeyStanding::Issued
        }
    }

    fn nonce(&self, serial: u64) -> u64 {
        let mut seed = self.seed;
        for (byte, mask) in seed.iter_mut().zip(serial.to_le_bytes()) {
            *byte ^= mask;
        }
        // A cipher-based generator: the nonces seen do not reveal others.
        StdRng::from_seed(seed).next_u64()
    }
}
