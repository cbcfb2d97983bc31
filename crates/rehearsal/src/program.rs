//! Where the node's program is.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

const NAME: &str = "yarrowfront";

/// The node beside this program. Started by cargo, it is built first: otherwise an old one would be played, or
/// none would be there at all.
pub fn node_binary() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| format!("where this program is cannot be told: {e}"))?;
    // Tests lie in a folder of their own below the programs.
    let folder = own.parent().unwrap_or(Path::new("."));
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--package", "yarrowfront-node"]);
        build.args(["--manifest-path", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        let built = build.stdin(Stdio::null()).status().map_err(|e| format!("the node's build: {e}"))?;
        if !built.success() {
            return Err("the node cannot be built".into());
        }
    }
    let path = folder.join(NAME);
    match path.is_file() {
        true => Ok(path),
        false => Err(format!(
            "there is no node beside this program ({}): build it with `cargo build --release`, or name it \
             with --node",
            path.display()
        )),
    }
}
