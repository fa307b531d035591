//! Loads settings files and sets of configuration files.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::settings::DaemonSettings;

use crate::Fault;
use crate::FaultList;
use crate::FieldPath;
use crate::SetFault;
use crate::path::PathStep;
use crate::read::ReadFile;
use crate::read::fault_without_position;
use crate::read::read_file;
use crate::reference_check::check_references;
use crate::rules;
use crate::tree::Node;
use crate::tree::SourceSpan;

/// The fields of a set that are lists; their elements may be in several files.
const SET_LISTS: [&str; 5] = [
    "regions",
    "failure_domains",
    "services",
    "routes",
    "tenants",
];

/// Loads and checks the settings of one daemon.
///
/// Absent fields get their defaults, so `telemetry`, `policy` and `limits` are
/// always present.
///
/// # Examples
///
/// ```
/// let faults = radishgauge_config::load_settings("no-such-file".as_ref()).unwrap_err();
/// assert_eq!(faults.faults()[0].file, "no-such-file");
/// ```
///
/// # Errors
///
/// All faults in the file.
pub fn load_settings(path: &Path) -> Result<DaemonSettings, FaultList> {
    let mut faults = Vec::new();
    let Some(file) = read_file(path, rules::DAEMON_SETTINGS, &mut faults) else {
        return Err(FaultList::new(faults));
    };
    let settings = file.message.transcode_to::<DaemonSettings>();
    let settings = settings.expect("the reader builds messages of the schema");
    for fault in check_settings(&settings) {
        let span = span_of(&file.tree, &fault.path.0);
        let mut file_fault = to_file_fault(&file, span, &fault.path, &fault);
        let other = fault.other.as_ref();
        file_fault.other = other.map(|path| file.source.position(span_of(&file.tree, &path.0)));
        faults.push(file_fault);
    }
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(FaultList::new(faults))
    }
}

/// Returns conflicts between fields of a settings file.
fn check_settings(settings: &DaemonSettings) -> Vec<SetFault> {
    let mut faults = Vec::new();
    let mut add = |path: FieldPath, problem: &str, found: String, accepted: &str, other| {
        faults.push(SetFault {
            path,
            problem: problem.to_owned(),
            found,
            accepted: accepted.to_owned(),
            other,
        });
    };
    let root = FieldPath::default();
    if let Some(platform) = &settings.platform {
        let path = root.field("platform");
        let accepted = "either directory or url";
        match (platform.directory.as_str(), platform.url.as_str()) {
            ("", "") => add(
                path,
                "no source of the configuration",
                String::new(),
                accepted,
                None,
            ),
            ("", _) | (_, "") => {}
            (directory, _) => add(
                path.field("url"),
                "two sources of the configuration",
                format!("both, directory {directory:?}"),
                accepted,
                Some(path.field("directory")),
            ),
        }
    }
    let mut dialled_addresses = vec![(root.field("advertise"), settings.advertise.as_str())];
    if let Some(telemetry) = &settings.telemetry {
        let path = root.field("telemetry").field("statsd");
        dialled_addresses.push((path, telemetry.statsd.as_str()));
    }
    let mut seen: HashMap<&str, FieldPath> = HashMap::new();
    for (index, seed) in settings
        .seeds
        .iter()
        .enumerate()
        .filter(|(_, seed)| !seed.is_empty())
    {
        let path = root.field("seeds").item(index);
        dialled_addresses.push((path.clone(), seed));
        if let Some(first) = seen.get(seed.as_str()) {
            let first = Some(first.clone());
            let found = format!("{seed:?}");
            add(path, "duplicate value", found, "a value used once", first);
        } else {
            seen.insert(seed, path);
        }
    }
    for (path, text) in dialled_addresses {
        if text
            .parse()
            .is_ok_and(|address: SocketAddr| address.port() == 0 || address.ip().is_unspecified())
        {
            let accepted = "an IP number and a port that others can dial";
            add(
                path,
                "address has port 0 or an unspecified IP",
                format!("{text:?}"),
                accepted,
                None,
            );
        }
    }
    if let Some(listen) = &settings.listen {
        let path = root.field("listen");
        let peers = listen.peers.parse::<SocketAddr>();
        if peers.is_ok_and(|peers| peers.ip().is_unspecified()) && settings.advertise.is_empty() {
            let accepted = "one IP number, or advertise with the address that others dial";
            let found = format!("{:?}", listen.peers);
            add(
                path.field("peers"),
                "no address for other daemons",
                found,
                accepted,
                None,
            );
        }
        // The peer listener uses UDP, so only the two TCP listeners can conflict.
        let callers = listen.callers.parse::<SocketAddr>();
        if callers.is_ok_and(|callers| callers.port() != 0) && listen.callers == listen.operators {
            let found = format!("{:?}", listen.operators);
            let first = Some(path.field("callers"));
            let accepted = "a value used once";
            add(
                path.field("operators"),
                "duplicate value",
                found,
                accepted,
                first,
            );
        }
    }
    faults
}

/// Loads and checks the set in a directory.
///
/// The set consists of all files directly in the directory whose names end in
/// `.yaml` or `.yml`, except hidden files. Absent fields get their defaults.
///
/// # Errors
///
/// All faults in all files. References are checked only when every file can be
/// parsed, since a file that cannot might define the missing entries.
pub fn load_set(dir: &Path) -> Result<ConfigSet, FaultList> {
    let paths = match set_files(dir) {
        Ok(paths) => paths,
        Err(fault) => return Err(FaultList::new(vec![*fault])),
    };
    let mut faults = Vec::new();
    let mut files = Vec::new();
    for path in &paths {
        files.extend(read_file(path, rules::CONFIG_SET, &mut faults));
    }
    if files.len() < paths.len() {
        return Err(FaultList::new(faults));
    }
    let merged = MergedSet::new(&files, &mut faults);
    let key = |fault: &Fault| (fault.file.clone(), fault.field.clone());
    // A value that is not accepted also fails as a reference; report it only once.
    let faulty: HashSet<(String, String)> = faults.iter().map(key).collect();
    let reference_faults = check_references(&merged.set, &|_| false);
    let reference_faults = reference_faults.iter().map(|fault| merged.locate(fault));
    faults.extend(reference_faults.filter(|fault| !faulty.contains(&key(fault))));
    if faults.is_empty() {
        Ok(merged.set)
    } else {
        Err(FaultList::new(faults))
    }
}

fn set_files(dir: &Path) -> Result<Vec<PathBuf>, Box<Fault>> {
    let name = dir.display().to_string();
    let unreadable = |error: std::io::Error| {
        let problem = format!("cannot be read: {error}");
        Box::new(fault_without_position(
            &name,
            &problem,
            "a directory of YAML files",
        ))
    };
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        let yaml = path
            .extension()
            .is_some_and(|end| end == "yaml" || end == "yml");
        let hidden = path
            .file_name()
            .is_some_and(|name| name.as_encoded_bytes().starts_with(b"."));
        if yaml && !hidden && path.is_file() {
            paths.push(path);
        }
    }
    if paths.is_empty() {
        let problem = "no YAML file in the directory";
        let fault = fault_without_position(&name, problem, "a directory of YAML files");
        return Err(Box::new(fault));
    }
    paths.sort();
    Ok(paths)
}

/// The entries of all files and their origins.
struct MergedSet<'f> {
    files: &'f [ReadFile],
    set: ConfigSet,
    /// For each list, the file index and the index in the file's list of each
    /// element.
    origins: HashMap<&'static str, Vec<(usize, usize)>>,
    /// The index of the file that defines the policy.
    policy_file: usize,
}

impl<'f> MergedSet<'f> {
    fn new(files: &'f [ReadFile], faults: &mut Vec<Fault>) -> MergedSet<'f> {
        let mut merged = MergedSet {
            files,
            set: ConfigSet::default(),
            origins: HashMap::new(),
            policy_file: 0,
        };
        let mut first: Option<(usize, SourceSpan)> = None;
        for (index, file) in files.iter().enumerate() {
            let part = file.message.transcode_to::<ConfigSet>();
            let part = part.expect("the reader builds messages of the schema");
            let lengths = [
                part.regions.len(),
                part.failure_domains.len(),
                part.services.len(),
                part.routes.len(),
                part.tenants.len(),
            ];
            for (list, length) in SET_LISTS.into_iter().zip(lengths) {
                let origins = merged.origins.entry(list).or_default();
                origins.extend((0..length).map(|local_index| (index, local_index)));
            }
            merged.set.regions.extend(part.regions);
            merged.set.failure_domains.extend(part.failure_domains);
            merged.set.services.extend(part.services);
            merged.set.routes.extend(part.routes);
            merged.set.tenants.extend(part.tenants);
            let policy = file.tree.entry("policy").map(|(key, _)| key.span);
            match (policy, first) {
                (Some(span), Some((earlier, other))) => {
                    let mut fault = file.source.fault(
                        span,
                        "policy".to_owned(),
                        "duplicate policy",
                        String::new(),
                        "one policy in the whole set".to_owned(),
                    );
                    fault.other = Some(files[earlier].source.position(other));
                    faults.push(fault);
                }
                (Some(span), None) => {
                    first = Some((index, span));
                    merged.policy_file = index;
                    merged.set.policy = part.policy;
                }
                // A file without a policy is read with the default policy.
                (None, _) => merged.set.policy = merged.set.policy.or(part.policy),
            }
        }
        merged
    }

    fn locate(&self, fault: &SetFault) -> Fault {
        let (file, path) = self.locate_in_file(&fault.path);
        let span = span_of(&file.tree, &path.0);
        let mut file_fault = to_file_fault(file, span, &path, fault);
        file_fault.other = fault.other.as_ref().map(|other| {
            let (file, path) = self.locate_in_file(other);
            file.source.position(span_of(&file.tree, &path.0))
        });
        file_fault
    }

    /// Returns the file that contains a field of the set, and the path of the
    /// field in that file.
    fn locate_in_file(&self, path: &FieldPath) -> (&'f ReadFile, FieldPath) {
        let mut path = path.clone();
        let file = match path.0.as_mut_slice() {
            [PathStep::Field(list), PathStep::Item(index), ..] => {
                let (file, local_index) = self.origins[list.as_str()][*index];
                *index = local_index;
                file
            }
            _ => self.policy_file,
        };
        (&self.files[file], path)
    }
}

fn to_file_fault(file: &ReadFile, span: SourceSpan, path: &FieldPath, fault: &SetFault) -> Fault {
    let field = path.to_string();
    let found = fault.found.clone();
    let accepted = fault.accepted.clone();
    file.source
        .fault(span, field, &fault.problem, found, accepted)
}

// Returns the position of the mapping that should contain the field when the
// field itself is absent.
fn span_of(tree: &Node, steps: &[PathStep]) -> SourceSpan {
    let mut node = tree;
    for step in steps {
        let next = match step {
            PathStep::Field(name) => node.get(name),
            PathStep::Item(index) => node.item(*index),
        };
        match next {
            Some(next) => node = next,
            None => break,
        }
    }
    node.span
}
