//! Loading of a set from a directory of YAML files or from a packed directory.

use std::path::Path;

use anyhow::Context;
use radishgauge_config::load_set;
use radishgauge_config::read_packed;
use radishgauge_schema::config::ConfigSet;

use crate::CommandError;

/// Loads a set from a directory of YAML files, or from a directory that
/// `radishgauge pack` has written, which has a file `root`.
pub(crate) fn open_set(dir: &str) -> Result<ConfigSet, CommandError> {
    let path = Path::new(dir);
    if !path.join("root").is_file() {
        return load_set(path).map_err(CommandError::refused);
    }
    let packed = read_packed(path).with_context(|| format!("cannot read the version in {dir}"));
    packed.map(|(_, set)| set).map_err(CommandError::refused)
}
