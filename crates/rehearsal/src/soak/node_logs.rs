//! What the nodes' logs show of faults in the nodes themselves.

use std::path::Path;

/// The beginnings of the lines in which a node reports a violated invariant, or a panic.
const VIOLATION_PREFIXES: [&str; 2] = ["invariant violated: ", "panic: "];

/// Finds these lines in all logs of a folder.
pub fn find_violations(dir: &Path) -> Result<Vec<String>, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", dir.display());
    let mut violations = Vec::new();
    for file in std::fs::read_dir(dir).map_err(with_path)? {
        let path = file.map_err(with_path)?.path();
        let log = std::fs::read(&path).map_err(with_path)?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let log = String::from_utf8_lossy(&log);
        let is_violation = |line: &&str| VIOLATION_PREFIXES.iter().any(|prefix| line.starts_with(prefix));
        violations.extend(log.lines().filter(is_violation).map(|line| format!("{name}: {line}")));
    }
    Ok(violations)
}
