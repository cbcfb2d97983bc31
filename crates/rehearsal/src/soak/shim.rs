//! The library that has a node's system calls fail or end short, built for each soak.

use crate::scenario::Stress;
use std::path::PathBuf;
use std::process::Command;
use tempfile::TempDir;

const SOURCE: &str = include_str!("../../../node/tests/shims/system_calls.c");

pub struct Library {
    _folder: TempDir,
    path: PathBuf,
}

impl Library {
    pub fn build() -> Result<Library, String> {
        let folder = tempfile::tempdir().map_err(|e| format!("a folder for the shim: {e}"))?;
        let (source, path) = (folder.path().join("system_calls.c"), folder.path().join("system_calls.so"));
        std::fs::write(&source, SOURCE).map_err(|e| format!("the shim's source: {e}"))?;
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&path).arg(&source).arg("-ldl");
        let built = compiler.status().map_err(|e| format!("the shim needs a C compiler: {e}"))?;
        if !built.success() {
            return Err("the shim does not build".into());
        }
        Ok(Library { _folder: folder, path })
    }

    /// What loads it into a node and says how often which call fails; nothing where none is to.
    pub fn variables(&self, stress: Option<&Stress>) -> Vec<(String, String)> {
        let Some(stress) = stress else { return Vec::new() };
        let shares = [
            ("SHIM_SHORT", stress.short_calls),
            ("SHIM_INTERRUPT", stress.short_calls),
            ("SHIM_ACCEPT", stress.failing_accepts),
            ("SHIM_CONNECT", stress.failing_dials),
        ];
        if shares.iter().all(|(_, share)| *share == 0) {
            return Vec::new();
        }
        let shares = shares.map(|(name, share)| (name.to_owned(), share.to_string()));
        let load = ("LD_PRELOAD".to_owned(), self.path.display().to_string());
        shares.into_iter().chain([load]).collect()
    }
}
