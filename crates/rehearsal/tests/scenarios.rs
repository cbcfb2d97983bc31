//! Scenario files, experiments, comparisons and the search: the shipped scenarios are valid, and errors name line and key.

use rehearsal::experiment::{self, Experiment, Run};
use rehearsal::scenario::Scenario;
use rehearsal::{compare, report, search, virtual_clock};
use std::path::{Path, PathBuf};

fn scenario_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn shipped_scenarios() -> Vec<PathBuf> {
    let files = std::fs::read_dir(scenario_folder()).expect("scenarios").map(|f| f.expect("a file").path());
    files.filter(|f| f.extension().is_some_and(|e| e == "toml")).collect()
}

#[test]
fn shipped_scenarios_are_valid_and_survive_a_round_trip() {
    for path in shipped_scenarios() {
        let scenario = Scenario::read(&path).unwrap_or_else(|why| panic!("{why}"));
        let text = toml::to_string(&scenario).expect("it can be written");
        let reread = Scenario::parse(&text).unwrap_or_else(|(line, why)| panic!("{line}: {why}\n{text}"));
        assert_eq!(text, toml::to_string(&reread).expect("written"), "{}", path.display());
    }
}

const VALID_SCENARIO: &str = r#"name = "good"
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

/// Each case replaces a part of the valid scenario, and names the line and the key that the error has to name.
#[test]
fn errors_name_line_and_key() {
    assert!(Scenario::parse(VALID_SCENARIO).is_ok());
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
        let text = VALID_SCENARIO.replace(old, new);
        assert_ne!(text, VALID_SCENARIO, "{old}");
        let (at, why) = Scenario::parse(&text).expect_err(new);
        assert!(why.contains(key), "{new}: {why:?} does not name {key}");
        assert_eq!(at, line, "{new}: {why}");
    }
    let missing = Scenario::read(Path::new("no/such/file.toml")).expect_err("no file");
    assert!(missing.contains("no/such/file.toml"), "{missing}");
}

fn read_experiment(text: &str) -> Result<Experiment, String> {
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    std::fs::write(folder.path().join("good.toml"), VALID_SCENARIO).map_err(|e| e.to_string())?;
    let path = folder.path().join("e.toml");
    std::fs::write(&path, text).map_err(|e| e.to_string())?;
    let read = Experiment::read(&path)?;
    // The plan reads the scenario's file, which is deleted with its folder.
    read.plan()?;
    Ok(read)
}

#[test]
fn invalid_experiments_are_rejected() {
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
        let why = read_experiment(text).expect_err(text);
        assert!(why.contains(key), "{text}: {why}");
    }
}

/// All combinations of parameters are played. The runs are in the same order and their results the same, byte for byte, on
/// any number of threads.
#[test]
fn experiments_give_the_same_results_on_any_number_of_threads() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("good.toml"), VALID_SCENARIO).expect("written");
    let text = "scenarios = [\"good.toml\"]\npolicies = [\"yarrowfront\", \"less-busy\"]\nseeds = 3\n\
                [[parameters]]\nkey = \"load.per_s\"\nvalues = [40, 120]\n\
                [[parameters]]\nkey = \"backends[0].count\"\nvalues = [2, 4]\n";
    let path = folder.path().join("e.toml");
    std::fs::write(&path, text).expect("written");
    let experiment = Experiment::read(&path).expect("good");
    let run_on = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        let runs = pool.install(|| experiment.run(&|| ())).expect("runs");
        let lines: Vec<String> = runs.iter().map(|r| serde_json::to_string(r).expect("json")).collect();
        (runs, lines)
    };
    let ((runs, one), (_, many)) = (run_on(1), run_on(4));
    assert_eq!(one, many);
    assert_eq!(runs.len(), 2 * 2 * 2 * 3);
    let cells: Vec<_> = experiment::group_into_cells(&runs).into_iter().map(|(cell, _)| cell).collect();
    assert_eq!(cells.len(), 8);
    let csv = experiment::csv(&cells);
    assert_eq!(csv.lines().count(), 9);
    assert!(csv.starts_with("scenario,backends[0].count,load.per_s,policy,seeds,service"), "{csv}");
    let cell_refs: Vec<&experiment::Cell> = cells.iter().collect();
    assert!(report::experiment_chart("a chart", &cell_refs).expect("a chart").contains("</svg>"));
    check_comparisons(&runs);
}

/// More load on fewer backends is worse, equal results are within the noise, and different scenarios are not compared.
fn check_comparisons(runs: &[Run]) {
    let pick = |count: &str, per_s: &str, policy: &str| -> Vec<Run> {
        let matches = |r: &&Run| {
            let p = &r.parameters;
            p["backends[0].count"] == count && p["load.per_s"] == per_s && r.result.policy == policy
        };
        let without_parameters = |r: &Run| Run { parameters: Default::default(), result: r.result.clone() };
        runs.iter().filter(matches).map(without_parameters).collect()
    };
    let (easy, hard) = (pick("4", "40", "yarrowfront"), pick("2", "120", "yarrowfront"));
    let verdict = |a: &[Run], b: &[Run]| compare::compare(a, b).expect("comparable")[0].verdict.clone();
    assert_eq!(verdict(&easy, &hard), compare::Verdict::Worse);
    assert_eq!(verdict(&hard, &easy), compare::Verdict::Better);
    assert_eq!(verdict(&easy, &easy), compare::Verdict::WithinNoise);
    assert_eq!(verdict(&easy[..1], &hard[..1]), compare::Verdict::Unknown);
    // If each side has one policy, they are compared although their names differ.
    assert_eq!(
        compare::compare(&easy, &pick("4", "40", "less-busy")).expect("two policies")[0].change.count,
        3
    );
    let mut other = easy.clone();
    other.iter_mut().for_each(|r| r.result.scenario = "other".into());
    assert!(compare::compare(&easy, &other).is_err());
    other = easy.clone();
    other.iter_mut().for_each(|r| r.result.seed += 100);
    assert!(compare::compare(&easy, &other).expect_err("no pairs").contains("seed"));
}

/// A scenario with two overlapping troubles gives the same result with the same seed and another one with another seed. The
/// report names the troubles.
#[test]
fn a_scripted_incident_gives_the_same_result_again() {
    let text = VALID_SCENARIO.to_owned()
        + "[[troubles]]\nkind = \"node-deaths\"\nat = \"4s\"\nlength = \"1s\"\nshare = 0.5\ndown = \"1s\"\n";
    let scenario = Scenario::parse(&text).expect("good");
    let play = |seed| {
        let create =
            |context: &rehearsal::policy::NodeContext| rehearsal::policy::create("yarrowfront", context);
        let (result, judges) =
            virtual_clock::play(&scenario, seed, "yarrowfront", &create, &mut |_| ()).expect("plays");
        assert!(!result.rules.any(), "{:?}", result.rules);
        let page = report::html(&scenario, &result, &judges).expect("a page");
        (serde_json::to_string(&result).expect("json"), page)
    };
    let (one, page) = play(1);
    assert_eq!((&one, &page), (&play(1).0, &play(1).1));
    assert_ne!(one, play(2).0);
    for part in ["deaths from 3.0", "node deaths from 4.0", "</svg>", "kept"] {
        assert!(page.contains(part), "{part}");
    }
    // The page must not fetch anything from elsewhere: only names of XML namespaces may look like addresses.
    assert!(!page.replace("http://www.w3.org/", "").contains("http"), "no network is needed");
}

/// The search finds troubles that cost service, and shrinks them to a smaller scenario that costs nearly as much.
#[test]
fn search_shrinks_the_scenario_it_finds() {
    let scenario = Scenario::parse(&VALID_SCENARIO.replace("per_s = 50", "per_s = 150")).expect("good");
    let result = search::search(&scenario, 1, "random", 12, &|| ()).expect("a search");
    assert!(result.loss.score() > 0.03, "{:?}", result.loss);
    assert_eq!(result.scenario.troubles.len(), 2);
    let small = search::shrink(&result, 1, "random").expect("shrunk");
    assert!(small.loss.score() >= 0.8 * result.loss.score(), "{:?} of {:?}", small.loss, result.loss);
    let size = |s: &Scenario| (s.troubles.len(), s.nodes, s.backends[0].count, s.length);
    assert!(size(&small.scenario) < size(&result.scenario));
    let text = toml::to_string(&small.scenario).expect("written");
    let reread = Scenario::parse(&text).expect("it can be read again");
    assert_eq!(search::measure_loss(&reread, 1, "random").expect("played"), small.loss);
}
