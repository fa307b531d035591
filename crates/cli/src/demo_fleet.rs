//! The fleet of the demo: real daemons in one process, connected over loopback,
//! with a simulated platform and simulated targets.

use std::fs;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use prost::Message;
use radishgauge_config::pack;
use radishgauge_daemon::Daemon;
use radishgauge_daemon::DaemonResources;
use radishgauge_daemon::Running;
use radishgauge_daemon::StopReport;
use radishgauge_daemon::clock;
use radishgauge_net::KeyAuthority;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::HostEntry;
use radishgauge_schema::config::HostList;
use radishgauge_schema::config::HostState;
use radishgauge_schema::settings::DaemonSettings;
use radishgauge_schema::settings::ListenSettings;
use radishgauge_schema::settings::PlatformSettings;
use radishgauge_schema::settings::TlsSettings;
use radishgauge_standin::PlatformStandIn;
use radishgauge_standin::TargetConfig;
use radishgauge_standin::TargetStandIn;
use tempfile::TempDir;
use tokio::runtime::Handle;

/// The time in which a simulated target handles one request.
const SERVICE_TIME: Duration = Duration::from_millis(4);

/// The time limit for a version to come into force. Far above the 15 s that a
/// change may take, so that only a stuck daemon reaches it.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// A host of the fleet, with a daemon and a simulated target.
pub struct DemoHost {
    /// The daemon beside the target.
    pub daemon: Daemon<Running>,
    /// The simulated target.
    pub target: TargetStandIn,
    /// The failure domain of the host.
    pub failure_domain: String,
}

/// A running fleet and the configuration set that it publishes.
pub struct DemoFleet {
    /// One host for each target of the set.
    pub hosts: Vec<DemoHost>,
    /// The simulated platform, from which daemons read versions and host lists.
    pub platform: PlatformStandIn,
    set: ConfigSet,
    revision: u64,
    key_directory: TempDir,
}

impl DemoFleet {
    /// Starts a daemon and a simulated target for each target of the set, and
    /// waits until the first version is in force at all daemons.
    pub async fn open(mut set: ConfigSet) -> Result<DemoFleet> {
        let directory = TempDir::new().context("cannot create a directory for keys")?;
        let authority = KeyAuthority::generate()?;
        let platform = PlatformStandIn::start().await?;
        let mut pending_hosts = Vec::new();
        for service in &mut set.services {
            for target in &mut service.targets {
                let region = set
                    .failure_domains
                    .iter()
                    .find(|domain| domain.name == target.failure_domain)
                    .map(|domain| domain.region.clone())
                    .unwrap_or_default();
                let config = TargetConfig {
                    host: target.host.clone(),
                    region: region.clone(),
                    slots: service.slots as usize,
                    service_time: SERVICE_TIME,
                    ..TargetConfig::default()
                };
                let worker = TargetStandIn::start(config).await?;
                target.address = worker.address().to_string();
                target.daemon = free_udp_address()?.to_string();
                pending_hosts.push((target.clone(), region, worker));
            }
        }
        let mut fleet = DemoFleet {
            hosts: Vec::new(),
            platform,
            set,
            revision: 0,
            key_directory: directory,
        };
        fleet.publish_host_lists();
        fleet.publish(|_| {});
        for (target, region, worker) in pending_hosts {
            write_keys(
                fleet.key_directory.path(),
                &authority,
                &target.host,
                &target.failure_domain,
            )?;
            let settings = fleet.settings(
                &target.host,
                &region,
                &target.failure_domain,
                &target.daemon,
            );
            let daemon = Daemon::open(&settings, resources(fleet.hosts.len() as u64)).await?;
            fleet.hosts.push(DemoHost {
                daemon,
                target: worker,
                failure_domain: target.failure_domain,
            });
        }
        fleet.converge().await?;
        Ok(fleet)
    }

    /// Changes the set and publishes it under the next revision.
    pub fn publish<F>(&mut self, change: F)
    where
        F: FnOnce(&mut ConfigSet),
    {
        change(&mut self.set);
        self.revision += 1;
        self.platform
            .put_all(pack(&self.set, self.revision).values());
    }

    /// Waits until the newest revision is in force at all daemons; returns the
    /// time that each took.
    ///
    /// # Errors
    ///
    /// When a daemon does not have it in force within the time limit.
    pub async fn converge(&self) -> Result<Vec<Duration>> {
        let start_time = Instant::now();
        let waits = self.hosts.iter().map(|host| async {
            let reached = host
                .daemon
                .wait_for_revision(self.revision, CONVERGENCE_TIMEOUT)
                .await;
            (reached, start_time.elapsed())
        });
        let results = futures_util::future::join_all(waits).await;
        for ((reached, _), host) in results.iter().zip(&self.hosts) {
            let name = &host.daemon.node().local.host;
            ensure!(
                *reached,
                "{name} did not activate revision {}",
                self.revision
            );
        }
        Ok(results
            .into_iter()
            .map(|(_, elapsed_time)| elapsed_time)
            .collect())
    }

    /// Stops all daemons gracefully, one after another.
    pub async fn stop(self) -> Vec<StopReport> {
        let mut reports = Vec::new();
        for host in self.hosts {
            reports.push(host.daemon.begin_stop().finish().await);
        }
        reports
    }

    fn publish_host_lists(&self) {
        for domain in &self.set.failure_domains {
            let targets = self
                .set
                .services
                .iter()
                .flat_map(|service| &service.targets);
            let hosts = targets.filter(|target| target.failure_domain == domain.name);
            let list = HostList {
                failure_domain: domain.name.clone(),
                revision: 1,
                hosts: hosts
                    .map(|target| HostEntry {
                        host: target.host.clone(),
                        failure_domain: domain.name.clone(),
                        daemon: target.daemon.clone(),
                        incarnation: 1,
                        state: HostState::Live.into(),
                    })
                    .collect(),
            };
            self.platform
                .put(&format!("hosts/{}", domain.name), list.encode_to_vec());
        }
    }

    fn settings(&self, host: &str, region: &str, domain: &str, peers: &str) -> DaemonSettings {
        let file = |name: String| self.key_directory.path().join(name).display().to_string();
        let targets = self
            .set
            .services
            .iter()
            .flat_map(|service| &service.targets);
        let seeds = targets.filter(|target| target.failure_domain == domain);
        DaemonSettings {
            host: host.to_owned(),
            region: region.to_owned(),
            failure_domain: domain.to_owned(),
            listen: Some(ListenSettings {
                callers: "127.0.0.1:0".to_owned(),
                peers: peers.to_owned(),
                operators: "127.0.0.1:0".to_owned(),
            }),
            seeds: seeds.map(|target| target.daemon.clone()).collect(),
            platform: Some(PlatformSettings {
                url: self.platform.url(),
                ..PlatformSettings::default()
            }),
            tls: Some(TlsSettings {
                ca: file("ca.pem".to_owned()),
                certificate: file(format!("{host}.pem")),
                key: file(format!("{host}.key.pem")),
            }),
            limits: Some(radishgauge_schema::settings::LimitSettings {
                header_kib: 32,
                body_mib: 64,
                calls: 4096,
            }),
            ..DaemonSettings::default()
        }
    }
}

fn resources(seed: u64) -> DaemonResources {
    DaemonResources {
        runtime: Handle::current(),
        listener_threads: 1,
        clock: Arc::new(clock::SystemClock::start()),
        incarnation: clock::incarnation_now(),
        seed,
    }
}

/// Finds a free UDP port. If another process binds it before the daemon does,
/// opening the daemon fails with an error about the address.
fn free_udp_address() -> Result<SocketAddr> {
    Ok(UdpSocket::bind("127.0.0.1:0")?.local_addr()?)
}

fn write_keys(dir: &Path, authority: &KeyAuthority, host: &str, domain: &str) -> Result<()> {
    let identity = authority.issue(host, domain)?;
    fs::write(dir.join("ca.pem"), &identity.ca)?;
    fs::write(dir.join(format!("{host}.pem")), &identity.certificate)?;
    fs::write(dir.join(format!("{host}.key.pem")), &identity.key)?;
    Ok(())
}
