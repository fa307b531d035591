//! `radishgauge keys`: creates the certificate authority and the certificates
//! for mutual TLS between daemons.
//!
//! The certificate of a daemon names its host and failure domain, so that a
//! daemon cannot impersonate another one.

use std::fs;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;

use anyhow::Context;
use anyhow::anyhow;
use gumdrop::Options;
use indexmap::IndexMap;
use radishgauge_config::is_name;
use radishgauge_schema::config::ConfigSet;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;
use serde::Serialize;
use time::Duration;
use time::OffsetDateTime;
use x509_parser::extensions::GeneralName;
use x509_parser::pem::parse_x509_pem;

use crate::CommandError;
use crate::ExitStatus;
use crate::Subcommand;
use crate::source::open_set;
use crate::table::table;

/// The DNS suffix of the host names in certificates.
const DNS_SUFFIX: &str = "radishgauge.internal";

/// The default validity of a host certificate in days; hosts are replaced more
/// often.
const DEFAULT_DAYS: u32 = 365;

/// The longest accepted validity of a host certificate in days, and the
/// validity of the authority's certificate.
const MAX_DAYS: u32 = 3650;

/// How long before its creation a certificate becomes valid, because the clocks
/// of hosts differ.
const CLOCK_SKEW: Duration = Duration::HOUR;

/// Creates a certificate authority, and a certificate and key for each host.
#[derive(Debug, Default, Options)]
pub struct KeysOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "hosts, each as HOST.FAILURE-DOMAIN")]
    hosts: Vec<String>,
    #[options(help = "create certificates for all hosts of this set", meta = "DIR")]
    set: Option<String>,
    #[options(help = "the directory for the PEM files", meta = "DIR")]
    output: Option<String>,
    #[options(help = "validity in days, 1 to 3650 (default 365)", meta = "N")]
    days: Option<u32>,
    #[options(help = "replace existing certificates, but not the authority")]
    renew: bool,
    #[options(help = "print JSON")]
    json: bool,
}

/// One certificate, as `--json` prints it.
#[derive(Debug, Serialize)]
struct KeyReport {
    host: String,
    failure_domain: String,
    name: String,
    certificate: String,
    key: String,
    made: bool,
}

impl Subcommand for KeysOptions {
    fn example(&self) -> &'static str {
        "radishgauge keys --set examples/abay-etchcraft --output keys\n\
         radishgauge keys shop-1.addis-bole --output keys --days 90"
    }

    fn run(&self, out: &mut dyn Write) -> Result<ExitStatus, CommandError> {
        let Some(output) = &self.output else {
            return Err(CommandError::usage("give --output DIR"));
        };
        let days = self.days.unwrap_or(DEFAULT_DAYS);
        if !(1..=MAX_DAYS).contains(&days) {
            let text = format!("--days; found: {days}; accepted: 1 to {MAX_DAYS}");
            return Err(CommandError::usage(&text));
        }
        let hosts = self.hosts()?;
        if hosts.is_empty() {
            return Err(CommandError::usage("give hosts or --set DIR"));
        }
        let output = Path::new(output);
        let reports = create_keys(output, &hosts, days, self.renew)
            .with_context(|| format!("cannot create keys in {}", output.display()))
            .map_err(CommandError::refused)?;
        if self.json {
            let text = serde_json::to_string_pretty(&reports).map_err(CommandError::refused)?;
            writeln!(out, "{text}")?;
            return Ok(ExitStatus::Done);
        }
        let rows: Vec<Vec<String>> = reports
            .into_iter()
            .map(|report| {
                let made = if report.made { "made" } else { "kept" };
                let KeyReport {
                    name,
                    certificate,
                    key,
                    ..
                } = report;
                vec![made.to_owned(), name, certificate, key]
            })
            .collect();
        write!(out, "{}", table(&["", "NAME", "CERTIFICATE", "KEY"], &rows))?;
        Ok(ExitStatus::Done)
    }
}

impl KeysOptions {
    /// Returns the failure domain of each host, by host name.
    fn hosts(&self) -> Result<IndexMap<String, String>, CommandError> {
        let mut hosts = IndexMap::new();
        if let Some(dir) = &self.set {
            let set = open_set(dir)?;
            hosts.extend(set_hosts(&set));
        }
        for text in &self.hosts {
            let parts = text.split_once('.');
            let valid_parts = parts.filter(|(host, domain)| is_name(host) && is_name(domain));
            let Some((host, domain)) = valid_parts else {
                let text = format!(
                    "host; found: {text:?}; accepted: HOST.FAILURE-DOMAIN, each of 1 to 63 \
                     lower-case letters, digits and inner hyphens"
                );
                return Err(CommandError::usage(&text));
            };
            let earlier = hosts.insert(host.to_owned(), domain.to_owned());
            if let Some(earlier) = earlier.filter(|earlier| earlier != domain) {
                let text = format!("host {host} is in two failure domains, {earlier} and {domain}");
                return Err(CommandError::usage(&text));
            }
        }
        if hosts.contains_key("ca") {
            let text = "host ca: this name is reserved for the files of the authority";
            return Err(CommandError::usage(text));
        }
        hosts.sort_unstable_keys();
        Ok(hosts)
    }
}

fn set_hosts(set: &ConfigSet) -> impl Iterator<Item = (String, String)> {
    let targets = set.services.iter().flat_map(|service| &service.targets);
    targets.map(|target| (target.host.clone(), target.failure_domain.clone()))
}

fn create_keys(
    output: &Path,
    hosts: &IndexMap<String, String>,
    days: u32,
    renew: bool,
) -> anyhow::Result<Vec<KeyReport>> {
    fs::create_dir_all(output)?;
    let issuer = open_authority(output)?;
    let mut reports = Vec::new();
    for (host, domain) in hosts {
        let certificate = output.join(format!("{host}.pem"));
        let key = output.join(format!("{host}.key.pem"));
        let name = format!("{host}.{domain}.{DNS_SUFFIX}");
        let made = renew || !key.exists() || !is_current(&certificate, &name);
        if made {
            let key_pair = KeyPair::generate()?;
            let params = host_params(host, &name, days)?;
            let signed = params.signed_by(&key_pair, &issuer)?;
            write_file(&key, &key_pair.serialize_pem(), true)?;
            write_file(&certificate, &signed.pem(), false)?;
        }
        reports.push(KeyReport {
            host: host.clone(),
            failure_domain: domain.clone(),
            name,
            certificate: certificate.display().to_string(),
            key: key.display().to_string(),
            made,
        });
    }
    Ok(reports)
}

/// Returns whether a certificate exists, has exactly this DNS name and is valid.
///
/// The name contains the failure domain, so a host that moved to another one
/// needs a new certificate.
fn is_current(path: &Path, name: &str) -> bool {
    let Ok(bytes) = fs::read(path) else {
        return false;
    };
    let Ok((_, pem)) = parse_x509_pem(&bytes) else {
        return false;
    };
    pem.parse_x509().is_ok_and(|certificate| {
        let names = certificate.subject_alternative_name();
        let names = names.ok().flatten().map(|names| &names.value.general_names);
        let has_name = names.is_some_and(|names| names == &[GeneralName::DNSName(name)]);
        has_name && certificate.validity().is_valid()
    })
}

// Signing uses only the constant parameters of the authority and its key, so
// the certificate file is not parsed.
fn open_authority(output: &Path) -> anyhow::Result<Issuer<'static, KeyPair>> {
    let certificate = output.join("ca.pem");
    let key = output.join("ca.key.pem");
    match (certificate.exists(), key.exists()) {
        (true, true) => {
            let text = fs::read_to_string(&key)?;
            let key_pair = KeyPair::from_pem(&text).context("ca.key.pem is not a private key")?;
            Ok(Issuer::new(authority_params(), key_pair))
        }
        (false, false) => {
            let key_pair = KeyPair::generate()?;
            let params = authority_params();
            let signed = params.self_signed(&key_pair)?;
            write_file(&key, &key_pair.serialize_pem(), true)?;
            write_file(&certificate, &signed.pem(), false)?;
            Ok(Issuer::new(params, key_pair))
        }
        _ => Err(anyhow!(
            "only one of ca.pem and ca.key.pem exists; accepted: both or none"
        )),
    }
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params
        .distinguished_name
        .push(DnType::CommonName, "radishgauge authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    set_validity(&mut params, MAX_DAYS);
    params
}

fn host_params(host: &str, name: &str, days: u32) -> anyhow::Result<CertificateParams> {
    let mut params = CertificateParams::new(vec![name.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, host);
    params.is_ca = IsCa::ExplicitNoCa;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    // Daemons both accept and open sessions.
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    params.use_authority_key_identifier_extension = true;
    set_validity(&mut params, days);
    Ok(params)
}

fn set_validity(params: &mut CertificateParams, days: u32) {
    let now = OffsetDateTime::now_utc();
    params.not_before = now - CLOCK_SKEW;
    params.not_after = now + Duration::days(i64::from(days));
}

/// Replaces a file atomically. On Unix, a private file is accessible only to
/// its owner.
fn write_file(path: &Path, text: &str, private: bool) -> io::Result<()> {
    let temporary = path.with_extension("tmp");
    // A file left by an interrupted run is removed, because opening it would
    // keep its permissions.
    if temporary.exists() {
        fs::remove_file(&temporary)?;
    }
    let mut options = OpenOptions::new();
    options.write(true).create_new(true);
    #[cfg(unix)]
    if private {
        use std::os::unix::fs::OpenOptionsExt;
        options.mode(0o600);
    }
    let mut file = options.open(&temporary)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&temporary, path)
}
