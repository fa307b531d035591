//! Adapts the acceptance rule of `radishgauge-config` to the control machine.

use radishgauge_config::FleetModel;
use radishgauge_config::accept::AcceptVerdict;
use radishgauge_config::accept::accept;
use radishgauge_control::AcceptRule;
use radishgauge_control::accept::NamedPart;
use radishgauge_schema::config::IndexRoot;

/// Accepts or refuses a version by its content alone.
#[derive(Debug, Clone, Copy, Default)]
pub struct ContentRule;

impl AcceptRule for ContentRule {
    fn accept(&self, root: &IndexRoot, parts: &[NamedPart]) -> Result<(), Vec<String>> {
        let named = parts
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_ref()));
        match accept(root, named) {
            AcceptVerdict::Accepted => Ok(()),
            refused => Err(refused.reasons()),
        }
    }

    fn model(&self, parts: &[NamedPart]) -> Result<FleetModel, Vec<String>> {
        let named = parts
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_ref()));
        FleetModel::from_parts(named).map_err(|error| vec![error.to_string()])
    }
}
