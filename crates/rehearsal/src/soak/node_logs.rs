//! What the nodes' logs show of faults in the nodes themselves.

use std::path::Path;

/// The beginnings of the lines in which a node reports a violated invariant, or a panic.
const VIOLATION_PREFIXES: [&str; 2] = ["invariant violated: ", "panic: "];

/// How many lines of a log show how its process ended.
const LAST_LINE_COUNT: usize = 3;

/// The log of one process of a node.
struct NodeLog {
    /// The node and the number of its start.
    name: String,
    text: String,
}

/// Reads all logs of a folder.
fn read_logs(dir: &Path) -> Result<Vec<NodeLog>, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", dir.display());
    let mut logs = Vec::new();
    for file in std::fs::read_dir(dir).map_err(with_path)? {
        let path = file.map_err(with_path)?.path();
        let text = std::fs::read(&path).map_err(with_path)?;
        logs.push(NodeLog {
            name: path.file_stem().unwrap_or_default().to_string_lossy().into_owned(),
            text: String::from_utf8_lossy(&text).into_owned(),
        });
    }
    logs.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(logs)
}

/// Finds the lines that report a violation in all logs of a folder.
pub fn find_violations(dir: &Path) -> Result<Vec<String>, String> {
    let is_violation = |line: &&str| VIOLATION_PREFIXES.iter().any(|prefix| line.starts_with(prefix));
    let violations_of = |log: &NodeLog| -> Vec<String> {
        log.text.lines().filter(is_violation).map(|line| format!("{}: {line}", log.name)).collect()
    };
    Ok(read_logs(dir)?.iter().flat_map(violations_of).collect())
}

/// The last lines of all logs of a folder.
pub fn last_lines(dir: &Path) -> Result<Vec<String>, String> {
    let last_lines_of = |log: &NodeLog| -> Vec<String> {
        let lines: Vec<&str> = log.text.lines().collect();
        let first = lines.len().saturating_sub(LAST_LINE_COUNT);
        lines[first..].iter().map(|line| format!("{}: {line}", log.name)).collect()
    };
    Ok(read_logs(dir)?.iter().flat_map(last_lines_of).collect())
}
