//! Packs a set into content-addressed parts, pages and a root.
//!
//! A change to one service changes one part, one page and the root. The bytes
//! sent over metered links therefore depend on the size of the change, not on the
//! size of the fleet.

use std::fs;
use std::io;
use std::io::ErrorKind;
use std::io::Write;
use std::path::Path;
use std::slice;
use std::thread;
use std::thread::ScopedJoinHandle;

use bytes::Bytes;
use indexmap::IndexMap;
use prost::Message;
use radishgauge_schema::config::ConfigPart;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::FleetPart;
use radishgauge_schema::config::IndexPage;
use radishgauge_schema::config::IndexRoot;
use radishgauge_schema::config::Route;
use radishgauge_schema::config::Service;
use radishgauge_schema::config::config_part::Part;
use radishgauge_schema::peer::PartReply;
use radishgauge_schema::peer::PartValue;
use smol_str::SmolStr;

use crate::DigestIndex;
use crate::FleetModel;
use crate::PartDigest;
use crate::index::PAGES;
use crate::index::SCHEMA;
use crate::index::open_root;

/// The maximum length of a value, in bytes; the platform stores values of up to
/// one megabyte.
pub const VALUE_MAX: usize = 1_000_000;

/// The minimum length, in bytes, of parts that are compressed in bundles; below
/// it zstd saves little.
const MIN_COMPRESSED_LENGTH: usize = 1024;

/// The zstd level of bundles; higher levels save little on values of some
/// kilobytes.
const COMPRESS_LEVEL: i32 = 3;

/// The key of the part that contains regions, failure domains, tenants and policy.
pub const FLEET_KEY: &str = "fleet";

/// Returns the part key of a service.
pub fn service_key(name: &str) -> SmolStr {
    smol_str::format_smolstr!("service/{name}")
}

/// Returns the part key of a route.
pub fn route_key(name: &str) -> SmolStr {
    smol_str::format_smolstr!("route/{name}")
}

/// A set in the form that the platform stores.
#[derive(Debug, Clone, PartialEq)]
pub struct PackedSet {
    index: DigestIndex,
    parts: IndexMap<SmolStr, Bytes>,
}

/// Packs a set.
///
/// Lists whose order is not significant are sorted, so that moving an entry
/// between files does not change any digest.
///
/// # Examples
///
/// ```
/// use radishgauge_config::pack;
/// use radishgauge_schema::config::ConfigSet;
///
/// let packed = pack(&ConfigSet::default(), 1);
/// assert_eq!(packed.index().revision(), 1);
/// assert_eq!(packed.parts().count(), 1);
/// ```
///
/// # Panics
///
/// When two services or two routes have the same name, which
/// [`crate::check_set`] reports.
pub fn pack(set: &ConfigSet, revision: u64) -> PackedSet {
    let mut parts = IndexMap::new();
    let mut add = |key: SmolStr, part: Part| {
        let part = ConfigPart { part: Some(part) };
        let earlier = parts.insert(key.clone(), Bytes::from(part.encode_to_vec()));
        assert!(earlier.is_none(), "two parts have the key {key}");
    };
    add(FLEET_KEY.into(), Part::Fleet(fleet_part(set)));
    for service in &set.services {
        add(
            service_key(&service.name),
            Part::Service(sorted_service(service)),
        );
    }
    for route in &set.routes {
        add(route_key(&route.name), Part::Route(sorted_route(route)));
    }
    parts.sort_unstable_keys();
    let mut index = DigestIndex::new(revision);
    for (key, value) in &parts {
        index.insert(key.clone(), PartDigest::of(value));
    }
    PackedSet { index, parts }
}

fn fleet_part(set: &ConfigSet) -> FleetPart {
    let mut fleet = FleetPart {
        regions: set.regions.clone(),
        failure_domains: set.failure_domains.clone(),
        tenants: set.tenants.clone(),
        policy: set.policy,
    };
    fleet.regions.sort_by(|a, b| a.name.cmp(&b.name));
    fleet.failure_domains.sort_by(|a, b| a.name.cmp(&b.name));
    fleet.tenants.sort_by(|a, b| a.name.cmp(&b.name));
    for tenant in &mut fleet.tenants {
        tenant.home_regions.sort();
    }
    fleet
}

fn sorted_service(service: &Service) -> Service {
    let mut service = service.clone();
    service.targets.sort_by(|a, b| a.host.cmp(&b.host));
    service
}

fn sorted_route(route: &Route) -> Route {
    let mut route = route.clone();
    route.methods.sort();
    route.home_regions.sort();
    route.calls.sort();
    route
}

impl PackedSet {
    /// Returns the index of the parts.
    pub fn index(&self) -> &DigestIndex {
        &self.index
    }

    /// Returns the digest of the root, which identifies the version.
    pub fn root_digest(&self) -> PartDigest {
        self.index.root_digest()
    }

    /// Returns the bytes of one part.
    pub fn part(&self, key: &str) -> Option<&Bytes> {
        self.parts.get(key)
    }

    /// Iterates over the parts in the order of their keys.
    pub fn parts(&self) -> impl Iterator<Item = (&SmolStr, &Bytes)> {
        self.parts.iter()
    }

    /// Returns the parts of one page as one value, called a bundle.
    ///
    /// Parts that would make the bundle longer than [`VALUE_MAX`] bytes are omitted.
    /// A reader fetches these by their digests, like any part that is missing in a
    /// reply.
    ///
    /// # Panics
    ///
    /// When `page` is not below [`PAGES`].
    pub fn bundle(&self, page: usize) -> PartReply {
        let mut reply = PartReply::default();
        let mut length = 0;
        for entry in self.index.page(page).entries {
            let value = encode_part_value(entry.digest, &self.parts[entry.key.as_str()]);
            // Each value is preceded by a tag and a length of at most four bytes.
            let added = value.encoded_len() + 5;
            if length + added <= VALUE_MAX {
                length += added;
                reply.parts.push(value);
            }
        }
        reply
    }

    /// Returns all values with their keys on the platform; `root` is last.
    pub fn values(&self) -> Vec<(String, Bytes)> {
        let mut values = Vec::with_capacity(self.parts.len() + 2 * PAGES + 1);
        for value in self.parts.values() {
            values.push((format!("part/{}", PartDigest::of(value)), value.clone()));
        }
        for page in 0..PAGES {
            let value = Bytes::from(self.index.page(page).encode_to_vec());
            let digest = PartDigest::of(&value);
            let bundle = Bytes::from(self.bundle(page).encode_to_vec());
            values.push((format!("bundle/{digest}"), bundle));
            values.push((format!("page/{digest}"), value));
        }
        // All empty pages have the same key.
        values.sort();
        values.dedup();
        let root = Bytes::from(self.index.root().encode_to_vec());
        values.push(("root".to_owned(), root));
        values
    }

    /// Writes the values to a directory in the layout of the platform.
    ///
    /// All other values are written before `root`, and each file is replaced by a
    /// rename, so a reader never finds a root whose values are missing. Values of
    /// earlier versions are not deleted, since readers may still be fetching them.
    ///
    /// # Errors
    ///
    /// When the directory cannot be written, or when a value is longer than
    /// [`VALUE_MAX`]; `root` is then unchanged.
    pub fn write_to(&self, dir: &Path) -> io::Result<WriteReport> {
        let values = self.values();
        if let Some((key, value)) = values.iter().find(|(_, value)| value.len() > VALUE_MAX) {
            let length = value.len();
            let text = format!("{key} has {length} bytes; accepted: up to {VALUE_MAX}");
            return Err(io::Error::new(ErrorKind::InvalidData, text));
        }
        for kind in ["part", "page", "bundle"] {
            fs::create_dir_all(dir.join(kind))?;
        }
        let (root, values) = values.split_last().expect("a packed set has a root");
        let chunks = values.chunks(values.len().div_ceil(WRITER_THREADS).max(1));
        let reports = thread::scope(|scope| {
            let spawn = |values| scope.spawn(move || write_values(dir, values));
            let writers: Vec<_> = chunks.map(spawn).collect();
            let join = |writer: ScopedJoinHandle<'_, io::Result<WriteReport>>| {
                writer.join().expect("a writer does not panic")
            };
            writers.into_iter().map(join).collect::<Vec<_>>()
        });
        let mut total = WriteReport::default();
        for report in reports {
            total.add(report?);
        }
        // A rename is durable only after its directory is synced, so the
        // directories of the values are synced before `root` is written.
        for kind in ["part", "page", "bundle"] {
            sync_dir(&dir.join(kind))?;
        }
        total.add(write_values(dir, slice::from_ref(root))?);
        sync_dir(dir)?;
        Ok(total)
    }
}

#[cfg(unix)]
fn sync_dir(dir: &Path) -> io::Result<()> {
    fs::File::open(dir)?.sync_all()
}

// Only Unix systems can open a directory as a file.
#[cfg(not(unix))]
fn sync_dir(_: &Path) -> io::Result<()> {
    Ok(())
}

/// The number of threads that write values. Each file is synced, so a thread
/// mostly waits for the disk, which can process several syncs at once.
const WRITER_THREADS: usize = 8;

fn write_values(dir: &Path, values: &[(String, Bytes)]) -> io::Result<WriteReport> {
    let mut report = WriteReport::default();
    for (key, value) in values {
        if replace_file(&dir.join(key), value)? {
            report.add(WriteReport {
                values: 1,
                bytes: value.len(),
            });
        }
    }
    Ok(report)
}

impl WriteReport {
    fn add(&mut self, other: WriteReport) {
        self.values += other.values;
        self.bytes += other.bytes;
    }
}

/// What was written to a directory; values that were already there do not count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WriteReport {
    /// The number of values written.
    pub values: usize,
    /// The total length of the values written, in bytes.
    pub bytes: usize,
}

/// The error for a packed directory that does not contain a complete version.
#[derive(Debug, thiserror::Error)]
pub enum PackedError {
    /// A value is missing or cannot be read.
    #[error("{key}: {error}")]
    Read {
        /// The platform key of the value.
        key: String,
        /// The error from reading the file.
        error: io::Error,
    },
    /// A value does not match the digest in its key, or does not decode.
    #[error("{key}: {reason}")]
    Value {
        /// The platform key of the value.
        key: String,
        /// What is wrong with the value.
        reason: String,
    },
}

/// Reads the revision and the set of the version in a packed directory.
///
/// # Errors
///
/// When a value is missing or does not match its digest. When there is no root,
/// the error is [`PackedError::Read`] with [`ErrorKind::NotFound`].
pub fn read_packed(dir: &Path) -> Result<(u64, ConfigSet), PackedError> {
    let read = |key: &str| {
        let bytes = fs::read(dir.join(key));
        bytes.map_err(|error| PackedError::Read {
            key: key.to_owned(),
            error,
        })
    };
    let invalid = |key: &str, reason: &str| PackedError::Value {
        key: key.to_owned(),
        reason: reason.to_owned(),
    };
    let read_by_digest = |kind: &str, digest: &[u8]| {
        let digest =
            PartDigest::try_from(digest).map_err(|error| invalid(kind, &error.to_string()))?;
        let key = format!("{kind}/{digest}");
        let value = read(&key)?;
        if PartDigest::of(&value) == digest {
            Ok((key, value))
        } else {
            Err(invalid(&key, "the value does not match its digest"))
        }
    };
    let root = read("root")?;
    let root =
        IndexRoot::decode(root.as_slice()).map_err(|error| invalid("root", &error.to_string()))?;
    if root.schema != SCHEMA {
        return Err(invalid(
            "root",
            &format!("unknown schema number {}", root.schema),
        ));
    }
    let mut parts = Vec::new();
    for digest in &root.pages {
        let (key, page) = read_by_digest("page", digest)?;
        let page = IndexPage::decode(page.as_slice());
        for entry in page
            .map_err(|error| invalid(&key, &error.to_string()))?
            .entries
        {
            let (_, value) = read_by_digest("part", &entry.digest)?;
            parts.push((entry.key, value));
        }
    }
    let model = FleetModel::from_parts(parts);
    let model = model.map_err(|error| invalid(&format!("part {}", error.key), &error.reason))?;
    Ok((root.revision, model.to_set()))
}

/// Reads the root of the version in a packed directory.
///
/// # Errors
///
/// When the root is missing, does not decode or has an unknown schema number.
pub fn read_root(dir: &Path) -> Result<IndexRoot, PackedError> {
    let key = "root";
    let bytes = fs::read(dir.join(key)).map_err(|error| PackedError::Read {
        key: key.to_owned(),
        error,
    })?;
    let reason = match open_root(&bytes) {
        Ok(root) if root.schema == SCHEMA => return Ok(root),
        Ok(root) => format!(
            "unknown schema number; found: {}; accepted: {SCHEMA}",
            root.schema
        ),
        Err(error) => error.to_string(),
    };
    let key = key.to_owned();
    Err(PackedError::Value { key, reason })
}

fn replace_file(path: &Path, value: &[u8]) -> io::Result<bool> {
    if fs::read(path).is_ok_and(|known| known == value) {
        return Ok(false);
    }
    let temporary = path.with_extension("tmp");
    let mut file = fs::File::create(&temporary)?;
    file.write_all(value)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    Ok(true)
}

fn encode_part_value(digest: Bytes, value: &Bytes) -> PartValue {
    let plain = PartValue {
        digest: digest.clone(),
        value: value.clone(),
        compressed: false,
    };
    if value.len() < MIN_COMPRESSED_LENGTH {
        return plain;
    }
    match zstd::bulk::compress(value, COMPRESS_LEVEL) {
        Ok(compressed) if compressed.len() < value.len() => PartValue {
            digest,
            value: Bytes::from(compressed),
            compressed: true,
        },
        _ => plain,
    }
}

/// The error for a value of a reply whose bytes do not match its digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the part value does not match its digest")]
pub struct ValueError;

/// Returns the digest and the decompressed bytes of one value of a [`PartReply`].
///
/// # Errors
///
/// When the digest is malformed, the value does not decompress to at most
/// [`VALUE_MAX`] bytes, or its bytes do not match the digest.
pub fn open_value(value: &PartValue) -> Result<(PartDigest, Bytes), ValueError> {
    let digest = PartDigest::try_from(value.digest.as_ref()).map_err(|_| ValueError)?;
    let plain = if value.compressed {
        let plain = zstd::bulk::decompress(&value.value, VALUE_MAX).map_err(|_| ValueError)?;
        Bytes::from(plain)
    } else {
        value.value.clone()
    };
    if PartDigest::of(&plain) == digest {
        Ok((digest, plain))
    } else {
        Err(ValueError)
    }
}
