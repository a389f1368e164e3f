//! Generates Rust code from the Cap'n Proto schema. Run in `crates/wire`:
//! `cargo run --example generate && cargo fmt`.

fn main() -> Result<(), capnp::Error> {
    capnpc::CompilerCommand::new()
        .src_prefix("schema")
        .file("schema/link.capnp")
        .output_path("src/generated")
        .default_parent_module(vec!["generated".to_owned()])
        .run()
}
