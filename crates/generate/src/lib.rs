//! Generates the Rust types of the schema.
//!
//! The generator is a separate package: it still builds when the committed
//! output does not compile, and ordinary builds do not need it. Run it with
//! `cargo run -p radishgauge-generate --example generate`.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use anyhow::Result;

/// The schema files, relative to `proto/` in the schema's package.
const FILES: [&str; 7] = [
    "rules.proto",
    "config.proto",
    "settings.proto",
    "suspect.proto",
    "peer.proto",
    "hop.proto",
    "quota.proto",
];

/// Returns the directory of the schema's package.
pub fn schema_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema")
}

/// Writes the generated types and the descriptor set to `output`.
///
/// # Errors
///
/// When a schema file cannot be parsed or `output` cannot be written.
pub fn generate(output: &Path) -> Result<()> {
    fs::create_dir_all(output)?;
    let proto = schema_dir().join("proto");
    let descriptors = protox::Compiler::new([&proto])?
        .include_imports(true)
        .include_source_info(false)
        .open_files(FILES)?
        .encode_file_descriptor_set();
    fs::write(output.join("descriptors.bin"), descriptors)?;
    let commented = protox::compile(FILES, [&proto])?;
    prost_build::Config::new()
        .out_dir(output)
        .bytes(["."])
        .compile_fds(commented)?;
    Ok(())
}
