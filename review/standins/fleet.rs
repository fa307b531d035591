//! Machines with a daemon and a worker each, and the platform around them.

use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::record::Record;
use crate::requester::Call;
use crate::requester::Requester;
use crate::store::Door;
use crate::store::Store;
use crate::worker::Worker;

pub const SIGHUP: i32 = 1;

const SIGKILL: usize = 9;
/// Names the signal that a process gets when the thread that started it ends.
const PARENT_END_SIGNAL: i32 = 1;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: usize) -> i32;
}

/// A machine as a case describes it.
pub struct Plan {
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    pub service: &'static str,
    pub work: Duration,
}

pub struct Machine {
    pub ip: IpAddr,
    pub zone: &'static str,
    pub worker: Arc<Worker>,
    settings: PathBuf,
    daemon: Option<Child>,
    starts: usize,
}

#[derive(Clone, Copy)]
struct Ports {
    inbound: u16,
    outbound: u16,
    readiness: u16,
    app: u16,
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    pub store: Store,
    pub record: Record,
    folder: PathBuf,
    command: Vec<String>,
    ports: Ports,
    zones: Vec<(&'static str, &'static str)>,
    memory_mb: u32,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Machine {
    pub fn kill(&mut self) {
        if let Some(mut daemon) = self.daemon.take() {
            let _ = daemon.kill();
            let _ = daemon.wait();
        }
    }

    pub fn signal(&self, signal: i32) {
        if let Some(daemon) = &self.daemon {
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(daemon.id() as i32, signal) };
        }
    }

    /// Returns the memory of the daemon in bytes, without the pages of its program file.
    pub fn memory(&self) -> u64 {
        let Some(daemon) = &self.daemon else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.id()));
        let status = status.unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes =
            line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Returns whether the daemon's process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.daemon.as_mut().map(|daemon| daemon.try_wait());
        !matches!(ended, Some(Ok(None)))
    }
}

impl Fleet {
    /// Starts the workers, and writes their entries into the store.
    pub fn prepare(
        plans: Vec<Plan>,
        zones: &[(&'static str, &'static str)],
        memory_mb: u32,
        record: &Record,
    ) -> Result<Fleet, String> {
        let text = |error: std::io::Error| error.to_string();
        let folder = std::env::temp_dir().join(format!("review-scene-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(text)?;
        let ips: Vec<IpAddr> = plans.iter().map(|plan| IpAddr::V4(plan.ip)).collect();
        let ports = Ports {
            inbound: free_port(&ips)?,
            outbound: free_port(&ips)?,
            readiness: free_port(&ips)?,
            app: free_port(&ips)?,
        };
        let store = Store::new(record);
        let mut machines = Vec::new();
        for (index, plan) in plans.into_iter().enumerate() {
            let ip = IpAddr::V4(plan.ip);
            let listener = TcpListener::bind((ip, ports.app)).map_err(text)?;
            let id = format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(index as u32 + 1));
            let worker = Worker::start(&id, plan.service, listener, plan.work, record);
            let worker = worker.map_err(text)?;
            machines.push(Machine {
                ip,
                zone: plan.zone,
                worker,
                settings: folder.join(format!("settings-{index}.conf")),
                daemon: None,
                starts: 0,
            });
        }
        let fleet = Fleet {
            machines,
            store,
            record: record.clone(),
            folder,
            command: deploy_command()?,
            ports,
            zones: zones.to_vec(),
            memory_mb,
        };
        for machine in &fleet.machines {
            fleet.register(&machine.worker, machine.zone);
        }
        Ok(fleet)
    }

    fn register(&self, worker: &Worker, zone: &str) {
        let entry = entry(&worker.service, worker.address, zone, 18);
        let key = format!("servers/{}", worker.id);
        self.store.put(&key, entry.as_bytes());
    }

    /// Opens an address at which the store answers.
    pub fn open_store(&self) -> Result<Door, String> {
        let ip = self.machines[0].ip;
        self.store.open(ip).map_err(|error| error.to_string())
    }

    pub fn outbound(&self, machine: &Machine) -> SocketAddr {
        SocketAddr::new(machine.ip, self.ports.outbound)
    }

    /// Writes the settings files, with the store at this address.
    pub fn write_settings(&self, store: &Door) -> Result<(), String> {
        for machine in &self.machines {
            let text = self.settings(machine, store.address);
            // The file is replaced at once, so that no daemon reads a part of it.
            let new = machine.settings.with_extension("new");
            let written = std::fs::write(&new, text);
            let written = written.and_then(|()| std::fs::rename(&new, &machine.settings));
            written.map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    fn settings(&self, machine: &Machine, store: SocketAddr) -> String {
        let ip = machine.ip;
        let Ports {
            inbound,
            outbound,
            readiness,
            app,
        } = self.ports;
        let zone = machine.zone;
        let region = self.zones.iter().find(|(name, _)| *name == zone);
        let region = region.map_or("", |(_, region)| region);
        let zones = self.zones.iter();
        let zones: String = zones
            .map(|(zone, region)| format!("zones.{zone}={region}\n"))
            .collect();
        let service = &machine.worker.service;
        let memory_mb = self.memory_mb;
        format!(
            "node=sidecar-{ip}\nrole=sidecar\nmachineClass=sidecar\nserves=sidecar\nip={ip}\n\
             zone={zone}\nregion={region}\n{zones}\
             listen.inbound={ip}:{inbound}\nlisten.outbound={ip}:{outbound}\n\
             listen.readiness={ip}:{readiness}\nportRange=7600,7615\nseeds=\nbootstrap=true\n\
             inTolerance=false\nlimits.cpuShare=0.2\nlimits.cores=1\n\
             limits.memoryMb={memory_mb}\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n\
             limits.diskMb=0\ndiscovery=platform\nentryMode=static\nheartbeat=1500ms\n\
             contracts=base,drain,config,cost,retry,recover,places,platform\n\
             faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
             bounds.seedLag=3s\nbounds.reuseAfter=2s\nbounds.stableWindow=3000ms\n\
             bounds.ack=4000ms\nbounds.catchUp=4s\nbounds.drain=2000ms\nbounds.grace=6s\n\
             bounds.lossSlack=200ms\nbounds.configApply=2000ms\nbounds.rollbackSlack=250ms\n\
             bounds.maxStretch=5000ms\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindow=10s\n\
             bounds.budgetExtra=56\nbounds.coldOverage=1.5\nbounds.coldSlack=5\n\
             bounds.evacuate=5000ms\nbounds.recovery=15s\n\
             appAddr={ip}:{app}\nservice={service}\nprovider.address={store}\n\
             provider.form=read\nprovider.writesPerS=400\nprovider.readsPerS=2000\n\
             provider.history=20s\nprovider.valueBytes=1048576\nprovider.ttlMin=1000ms\n"
        )
    }

    pub fn start_daemon(&mut self, index: usize) -> Result<(), String> {
        let machine = &mut self.machines[index];
        machine.starts += 1;
        let log = self
            .folder
            .join(format!("daemon-{index}-{}.log", machine.starts));
        let log = File::create(log).map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(&self.command[0]);
        command
            .args(&self.command[1..])
            .env_clear()
            .env("RADISHGAUGE_CONFIG", &machine.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // No daemon outlives the case, however that ends.
        // SAFETY: the call is a system call without memory of the parent.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_END_SIGNAL, SIGKILL);
                Ok(())
            });
        }
        let daemon = command.spawn();
        let daemon = daemon.map_err(|error| format!("{}: {error}", self.command[0]))?;
        let id = daemon.id();
        machine.daemon = Some(daemon);
        let ip = machine.ip;
        self.record
            .line(format!("daemon at {ip}: started, process {id}"));
        Ok(())
    }

    pub fn start_daemons(&mut self) -> Result<(), String> {
        (0..self.machines.len()).try_for_each(|index| self.start_daemon(index))
    }

    /// Returns whether a daemon answers the platform's question with 200.
    pub fn is_ready(&self, machine: &Machine) -> bool {
        let readiness = SocketAddr::new(machine.ip, self.ports.readiness);
        let mut platform = Requester::new(readiness, &self.record);
        let seen = platform.send(&Call {
            method: "GET",
            path: "/radishgauge/readiness",
            limit: Duration::from_millis(500),
            lines: "",
            body: b"",
        });
        seen.seen.is_served()
    }

    /// Waits until all daemons are ready.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while !self.machines.iter().all(|machine| self.is_ready(machine)) {
            if Instant::now() > until {
                return Err("the daemons are not ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Ok(())
    }

    /// Puts the daemons' own log lines of some events into the record.
    pub fn record_logs(&self, words: &[&str], most: usize) {
        let files = std::fs::read_dir(&self.folder)
            .into_iter()
            .flatten()
            .flatten();
        let mut files: Vec<PathBuf> = files.map(|file| file.path()).collect();
        files.retain(|file| file.extension().is_some_and(|extension| extension == "log"));
        files.sort();
        for file in files {
            let text = std::fs::read_to_string(&file).unwrap_or_default();
            let name = file
                .file_stem()
                .unwrap_or_default()
                .to_string_lossy()
                .into_owned();
            let lines = text.lines();
            let lines = lines.filter(|line| words.iter().any(|word| line.contains(word)));
            for line in lines.take(most) {
                self.record.line(format!("log of {name}: {line}"));
            }
        }
    }
}

/// Returns the value of a worker's entry in the store.
pub fn entry(service: &str, address: SocketAddr, zone: &str, capacity: u32) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"capacity\":{capacity},\"state\":\"ready\",\"coldLeft\":\"0ms\",\"sequence\":4,\"born\":1764900000000}}"
    )
}

/// Returns a port that is free at all these addresses.
fn free_port(ips: &[IpAddr]) -> Result<u16, String> {
    for _ in 0..50 {
        let first = TcpListener::bind((ips[0], 0)).map_err(|error| error.to_string())?;
        let port = first
            .local_addr()
            .map_err(|error| error.to_string())?
            .port();
        drop(first);
        if ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
            return Ok(port);
        }
    }
    Err("no free port".to_owned())
}

/// Returns the command that starts the daemon, from the deploy file.
fn deploy_command() -> Result<Vec<String>, String> {
    let text = std::fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.strip_suffix('"'));
    let command = command.ok_or("the deploy file has no command")?;
    Ok(command.split(' ').map(str::to_owned).collect())
}
