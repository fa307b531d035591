//! Regenerates the committed Rust types of the schema.

fn main() -> anyhow::Result<()> {
    let output = radishgauge_generate::schema_dir().join("src/generated");
    radishgauge_generate::generate(&output)
}
