//! Finds the program of the node.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

const NODE_PROGRAM: &str = "yarrowfront";

/// The path of the node's program, which is in the folder of this program. If this program was started by cargo, the node
/// is built first; otherwise an outdated node could be played, or none could be there.
pub fn node_binary() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| format!("the path of this program is unknown: {e}"))?;
    // Test programs are in a subfolder of the folder of the programs.
    let folder = own.parent().unwrap_or(Path::new("."));
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--package", "yarrowfront-node"]);
        build.args(["--manifest-path", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        let status =
            build.stdin(Stdio::null()).status().map_err(|e| format!("the node cannot be built: {e}"))?;
        if !status.success() {
            return Err("the build of the node failed".into());
        }
    }
    let path = folder.join(NODE_PROGRAM);
    match path.is_file() {
        true => Ok(path),
        false => Err(format!(
            "there is no node program at {}: build it with `cargo build --release`, or give its path with \
             --node",
            path.display()
        )),
    }
}
