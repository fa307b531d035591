//! Generates the Rust types of the schema.
//!
//! The generator is a package of its own, so that a fault in the committed
//! output cannot keep it from being rewritten, and so that ordinary builds need
//! no generator. Run it with
//! `cargo run -p radishgauge-generate --example generate`.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use anyhow::Result;

const FILES: [&str; 5] = [
    "rules.proto",
    "config.proto",
    "settings.proto",
    "peer.proto",
    "hop.proto",
];

/// Returns the package directory of the schema.
pub fn schema_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema")
}

/// Writes the generated types and the descriptor set to `output`.
///
/// # Errors
///
/// When a schema file does not parse or `output` cannot be written.
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
