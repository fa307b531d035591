//! Fingerprints, by which a request is recognised when its caller sends it again.
//!
//! Each attempt of a caller has its own ID, so equal requests are recognised by
//! what the target gets of them.

use xxhash_rust::xxh3::Xxh3;

/// The number of bytes of a body that [`Fingerprint::new`] includes.
pub const FINGERPRINT_BODY: usize = 64 * 1024;

/// A hash that is the same for equal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request. Only the first
    /// [`FINGERPRINT_BODY`] bytes of the body are included, so that it is known
    /// before a streamed body has arrived completely.
    pub fn new(
        service: &str,
        method: &str,
        path: &str,
        tenant: &str,
        key: Option<&str>,
        body: &[u8],
    ) -> Fingerprint {
        let body = &body[..body.len().min(FINGERPRINT_BODY)];
        let key = key.map_or(&[][..], str::as_bytes);
        let texts = [service, method, path, tenant].map(str::as_bytes);
        Fingerprint::of_fields(texts.into_iter().chain([key, body]))
    }

    /// Returns the fingerprint of a sequence of fields.
    pub fn of_fields<'a, I>(fields: I) -> Fingerprint
    where
        I: IntoIterator<Item = &'a [u8]>,
    {
        let mut hash = Xxh3::new();
        for field in fields {
            // The length distinguishes `ab`, `c` from `a`, `bc`.
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        Fingerprint(hash.digest())
    }
}

/// The fingerprints of one request. They differ in what of its origin and
/// destination they include.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestPrints {
    /// Of the method, path and body alone.
    pub content: Fingerprint,
    /// Of the content, the service that sends the request, and the one that gets it.
    pub exact: Fingerprint,
}

impl RequestPrints {
    /// Returns the fingerprints of a request from `caller_service` to `service`.
    /// `path` includes the query.
    pub fn new(
        method: &str,
        path: &str,
        body: &[u8],
        caller_service: &str,
        service: &str,
    ) -> RequestPrints {
        RequestPrints::of_pieces(method, path, [body], caller_service, service)
    }

    /// As [`RequestPrints::new`], for a body in pieces. How it is divided does not matter.
    pub fn of_pieces<'a, I>(
        method: &str,
        path: &str,
        body: I,
        caller_service: &str,
        service: &str,
    ) -> RequestPrints
    where
        I: IntoIterator<Item = &'a [u8]>,
        I::IntoIter: Clone,
    {
        let body = body.into_iter();
        let length: usize = body.clone().map(<[u8]>::len).sum();
        let mut hash = Xxh3::new();
        for field in [method, path] {
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field.as_bytes());
        }
        hash.update(&(length as u64).to_le_bytes());
        for piece in body {
            hash.update(piece);
        }
        let content = Fingerprint(hash.digest());
        let exact = Fingerprint::of_fields([
            &content.0.to_le_bytes()[..],
            caller_service.as_bytes(),
            service.as_bytes(),
        ]);
        RequestPrints { content, exact }
    }

    /// Returns both fingerprints.
    pub fn both(&self) -> [Fingerprint; 2] {
        [self.exact, self.content]
    }
}
