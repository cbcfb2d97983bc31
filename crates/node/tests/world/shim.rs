//! Builds a library that is preloaded into a node and makes its system calls fail or transfer less than requested.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The path of the library, which is built once per test program.
pub fn library() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shims/system_calls.c");
        let library = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("shim-{}.so", std::process::id()));
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-Wall", "-o"]).arg(&library).arg(source).arg("-ldl");
        let built = compiler.status().expect("a C compiler");
        assert!(built.success(), "the shim failed to build");
        library
    })
}
