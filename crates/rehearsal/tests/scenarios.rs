//! Scenario files: the shipped ones are good, and each fault is told with its line and key.

use rehearsal::experiment::{self, Experiment, Run};
use rehearsal::scenario::Scenario;
use rehearsal::{compare, report, search, virtual_clock};
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn shipped() -> Vec<PathBuf> {
    let files = std::fs::read_dir(folder()).expect("scenarios").map(|f| f.expect("a file").path());
    files.filter(|f| f.extension().is_some_and(|e| e == "toml")).collect()
}

#[test]
fn shipped_scenarios_are_good_and_go_round() {
    for path in shipped() {
        let scenario = Scenario::read(&path).unwrap_or_else(|why| panic!("{why}"));
        let text = toml::to_string(&scenario).expect("it can be written");
        let again = Scenario::parse(&text).unwrap_or_else(|(line, why)| panic!("{line}: {why}\n{text}"));
        assert_eq!(text, toml::to_string(&again).expect("written"), "{}", path.display());
    }
}

const GOOD: &str = r#"name = "good"
length = "10s"
nodes = 2

[load]
per_s = 50

[[backends]]
kind = "small"
count = 3

[[profiles]]
name = "read"
effect = "repeatable"
goal = "200ms"
limit = "1s"
work = "10ms"

[[troubles]]
kind = "deaths"
at = "3s"
share = 0.5
"#;

/// What is put in place of what, and the line and the words that the fault is told with.
#[test]
fn faults_are_told_with_line_and_key() {
    assert!(Scenario::parse(GOOD).is_ok());
    let cases = [
        ("length = \"10s\"", "length = 10", 2, "length"),
        ("length = \"10s\"", "length = \"10 parsecs\"", 2, "length"),
        ("length = \"10s\"", "length = \"1s\"", 1, "settle"),
        ("nodes = 2", "nodes = 0", 3, "nodes"),
        ("nodes = 2", "nodes = -2", 3, "nodes"),
        ("nodes = 2", "noodles = 2", 3, "noodles"),
        ("per_s = 50", "per_s = 50\nshare = 0.5", 5, "share or per_s"),
        ("per_s = 50", "share = -1", 6, "load.share"),
        ("per_s = 50", "per_s = 50\nshape = \"square\"", 7, "shape"),
        ("count = 3", "count = 0", 10, "backends[0].count"),
        ("count = 3", "count = 3\ncold = 0", 11, "backends[0].cold"),
        ("count = 3", "count = 3\ncollapse = { at = 2, speed = 0.5, until = 2 }", 11, "collapse.until"),
        ("count = 3", "count = 3\nstalls = { every = \"0s\", length = \"1s\" }", 11, "backends[0].stalls"),
        ("effect = \"repeatable\"", "effect = \"sometimes\"", 14, "effect"),
        ("goal = \"200ms\"", "goal = \"2s\"", 15, "profiles[0].goal"),
        ("work = \"10ms\"", "work = \"0s\"", 17, "profiles[0].work"),
        ("limit = \"1s\"\n", "", 12, "limit"),
        ("kind = \"deaths\"", "kind = \"dooms\"", 20, "kind"),
        ("at = \"3s\"", "at = \"30s\"", 21, "troubles[0].at"),
        ("share = 0.5", "share = 1.5", 22, "troubles[0].share"),
        ("share = 0.5", "zone = 1", 22, "troubles[0].zone"),
        ("share = 0.5", "customer = \"nobody\"", 22, "troubles[0].customer"),
        ("[[troubles]]", "[[troubles]", 19, ""),
    ];
    for (old, new, line, key) in cases {
        let text = GOOD.replace(old, new);
        assert_ne!(text, GOOD, "{old}");
        let (at, why) = Scenario::parse(&text).expect_err(new);
        assert!(why.contains(key), "{new}: {why:?} does not name {key}");
        assert_eq!(at, line, "{new}: {why}");
    }
    let missing = Scenario::read(Path::new("no/such/file.toml")).expect_err("no file");
    assert!(missing.contains("no/such/file.toml"), "{missing}");
}

fn experiment(text: &str) -> Result<Experiment, String> {
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    std::fs::write(folder.path().join("good.toml"), GOOD).map_err(|e| e.to_string())?;
    let path = folder.path().join("e.toml");
    std::fs::write(&path, text).map_err(|e| e.to_string())?;
    let read = Experiment::read(&path)?;
    // The plan needs the scenario's file, which goes with its folder.
    read.plan()?;
    Ok(read)
}

#[test]
fn faults_of_experiments() {
    let cases = [
        ("scenarios = []", "scenarios"),
        ("scenarios = [\"good.toml\"]\npolicies = [\"best\"]", "best"),
        ("scenarios = [\"good.toml\"]\nseeds = 0", "seeds"),
        ("scenarios = [\"none.toml\"]", "none.toml"),
        ("scenarios = [\"good.toml\"]\n[[parameters]]\nkey = \"load.speed\"\nvalues = [1]", "speed"),
        (
            "scenarios = [\"good.toml\"]\n[[parameters]]\nkey = \"backends[4].count\"\nvalues = [1]",
            "backends[4]",
        ),
        ("scenarios = [\"good.toml\"]\n[[parameters]]\nkey = \"nodes\"\nvalues = [0]", "nodes"),
        ("scenarios = [\"good.toml\"]\nfoo = 1", "e.toml:2"),
    ];
    for (text, key) in cases {
        let why = experiment(text).expect_err(text);
        assert!(why.contains(key), "{text}: {why}");
    }
}

/// Parameters are laid over each other, the runs come in their order on any number of threads, and what they come
/// to is the same byte for byte.
#[test]
fn experiments_replay_on_any_number_of_threads() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("good.toml"), GOOD).expect("written");
    let text = "scenarios = [\"good.toml\"]\npolicies = [\"yarrowfront\", \"less-busy\"]\nseeds = 3\n\
                [[parameters]]\nkey = \"load.per_s\"\nvalues = [40, 120]\n\
                [[parameters]]\nkey = \"backends[0].count\"\nvalues = [2, 4]\n";
    let path = folder.path().join("e.toml");
    std::fs::write(&path, text).expect("written");
    let experiment = Experiment::read(&path).expect("good");
    let on = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        let runs = pool.install(|| experiment.run(&|| ())).expect("runs");
        let lines: Vec<String> = runs.iter().map(|r| serde_json::to_string(r).expect("json")).collect();
        (runs, lines)
    };
    let ((runs, one), (_, many)) = (on(1), on(4));
    assert_eq!(one, many);
    assert_eq!(runs.len(), 2 * 2 * 2 * 3);
    let cells: Vec<_> = experiment::cells(&runs).into_iter().map(|(cell, _)| cell).collect();
    assert_eq!(cells.len(), 8);
    let csv = experiment::csv(&cells);
    assert_eq!(csv.lines().count(), 9);
    assert!(csv.starts_with("scenario,backends[0].count,load.per_s,policy,seeds,service"), "{csv}");
    let own: Vec<&experiment::Cell> = cells.iter().collect();
    assert!(report::experiment_chart("a chart", &own).expect("a chart").contains("</svg>"));
    compares(&runs);
}

/// More load on fewer backends is worse, the same is the same, and other scenarios are not compared.
fn compares(runs: &[Run]) {
    let pick = |count: &str, per_s: &str, policy: &str| -> Vec<Run> {
        let fits = |r: &&Run| {
            let p = &r.parameters;
            p["backends[0].count"] == count && p["load.per_s"] == per_s && r.played.policy == policy
        };
        let bare = |r: &Run| Run { parameters: Default::default(), played: r.played.clone() };
        runs.iter().filter(fits).map(bare).collect()
    };
    let (easy, hard) = (pick("4", "40", "yarrowfront"), pick("2", "120", "yarrowfront"));
    let verdict = |a: &[Run], b: &[Run]| compare::compare(a, b).expect("comparable")[0].verdict.clone();
    assert_eq!(verdict(&easy, &hard), compare::Verdict::Worse);
    assert_eq!(verdict(&hard, &easy), compare::Verdict::Better);
    assert_eq!(verdict(&easy, &easy), compare::Verdict::Same);
    assert_eq!(verdict(&easy[..1], &hard[..1]), compare::Verdict::Unknown);
    // Policies with one name each are put beside each other.
    assert_eq!(
        compare::compare(&easy, &pick("4", "40", "less-busy")).expect("two policies")[0].change.count,
        3
    );
    let mut other = easy.clone();
    other.iter_mut().for_each(|r| r.played.scenario = "other".into());
    assert!(compare::compare(&easy, &other).is_err());
    other = easy.clone();
    other.iter_mut().for_each(|r| r.played.seed += 100);
    assert!(compare::compare(&easy, &other).expect_err("no pairs").contains("seed"));
}

/// Two troubles that overlap, the same seed twice and another one; the page holds what was played.
#[test]
fn a_scripted_incident_replays() {
    let text = GOOD.to_owned()
        + "[[troubles]]\nkind = \"node-deaths\"\nat = \"4s\"\nlength = \"1s\"\nshare = 0.5\ndown = \"1s\"\n";
    let scenario = Scenario::parse(&text).expect("good");
    let play = |seed| {
        let make = |birth: &rehearsal::policy::NodeContext| rehearsal::policy::create("yarrowfront", birth);
        let (played, judges) =
            virtual_clock::play(&scenario, seed, "yarrowfront", &make, &mut |_| ()).expect("plays");
        assert!(!played.rules.any(), "{:?}", played.rules);
        let page = report::html(&scenario, &played, &judges).expect("a page");
        (serde_json::to_string(&played).expect("json"), page)
    };
    let (one, page) = play(1);
    assert_eq!((&one, &page), (&play(1).0, &play(1).1));
    assert_ne!(one, play(2).0);
    for part in ["deaths from 3.0", "node deaths from 4.0", "</svg>", "kept"] {
        assert!(page.contains(part), "{part}");
    }
    // What it would fetch from elsewhere: only the names of namespaces may look like addresses.
    assert!(!page.replace("http://www.w3.org/", "").contains("http"), "no network is needed");
}

/// The search finds troubles that cost something, and shrinks them to a smaller file that costs nearly as much.
#[test]
fn search_shrinks_what_it_finds() {
    let scenario = Scenario::parse(&GOOD.replace("per_s = 50", "per_s = 150")).expect("good");
    let found = search::search(&scenario, 1, "random", 12, &|| ()).expect("a search");
    assert!(found.loss.weight() > 0.03, "{:?}", found.loss);
    assert_eq!(found.scenario.troubles.len(), 2);
    let small = search::shrink(&found, 1, "random").expect("shrunk");
    assert!(small.loss.weight() >= 0.8 * found.loss.weight(), "{:?} of {:?}", small.loss, found.loss);
    let size = |s: &Scenario| (s.troubles.len(), s.nodes, s.backends[0].count, s.length);
    assert!(size(&small.scenario) < size(&found.scenario));
    let text = toml::to_string(&small.scenario).expect("written");
    let again = Scenario::parse(&text).expect("it can be read again");
    assert_eq!(search::loss(&again, 1, "random").expect("played"), small.loss);
}
