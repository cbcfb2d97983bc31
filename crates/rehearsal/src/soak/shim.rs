//! The preloaded library that makes a node's system calls fail or transfer less than requested. It is built for each soak run.

use crate::scenario::Stress;
use std::path::PathBuf;
use std::process::Command;
use tempfile::TempDir;

const SOURCE: &str = include_str!("../../../node/tests/shims/system_calls.c");

pub struct ShimLibrary {
    _dir: TempDir,
    path: PathBuf,
}

impl ShimLibrary {
    pub fn build() -> Result<ShimLibrary, String> {
        let dir = tempfile::tempdir().map_err(|e| format!("cannot create a directory for the shim: {e}"))?;
        let (source, path) = (dir.path().join("system_calls.c"), dir.path().join("system_calls.so"));
        std::fs::write(&source, SOURCE).map_err(|e| format!("cannot write the shim's source: {e}"))?;
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&path).arg(&source).arg("-ldl");
        let built = compiler.status().map_err(|e| format!("cannot run the C compiler for the shim: {e}"))?;
        if !built.success() {
            return Err("the shim failed to build".into());
        }
        Ok(ShimLibrary { _dir: dir, path })
    }

    /// The environment variables that preload it into a node and set how many calls there are per failing one. Empty
    /// if no call is to fail.
    pub fn environment(&self, stress: Option<&Stress>) -> Vec<(String, String)> {
        let Some(stress) = stress else { return Vec::new() };
        let calls_per_failure = [
            ("SHIM_SHORT", stress.short_calls),
            ("SHIM_INTERRUPT", stress.short_calls),
            ("SHIM_ACCEPT", stress.failing_accepts),
            ("SHIM_CONNECT", stress.failing_dials),
        ];
        // A record of no bytes would mean a kernel that does not know it.
        let record_bytes =
            (stress.tcp_info_bytes > 0).then_some(("SHIM_TCP_INFO_BYTES", stress.tcp_info_bytes));
        if calls_per_failure.iter().all(|(_, calls)| *calls == 0) && record_bytes.is_none() {
            return Vec::new();
        }
        let preload = ("LD_PRELOAD".to_owned(), self.path.display().to_string());
        let numbers = calls_per_failure.into_iter().chain(record_bytes);
        numbers.map(|(name, number)| (name.to_owned(), number.to_string())).chain([preload]).collect()
    }
}
