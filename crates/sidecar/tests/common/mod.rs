//! The settings of the daemons under test.

use std::path::Path;

use radishgauge_platform::HostSettings;

const SETTINGS: &str = "\
node=host-1
zone=north-a
region=north
zones.north-a=north
listen.outbound=127.0.0.1:1
listen.inbound=127.0.0.1:2
listen.readiness=127.0.0.1:3
service=shop
appAddr=127.0.0.1:4
provider.address=127.0.0.1:5
bounds.grace=6s
bounds.configApply=2000ms
bounds.drain=2s
bounds.retryBudgetRatio=0.2
bounds.budgetExtra=60
bounds.budgetWindow=10s
";

/// Returns the settings of a host whose addresses have no listener.
pub fn settings() -> HostSettings {
    HostSettings::parse(SETTINGS, Path::new("test.conf")).unwrap()
}
