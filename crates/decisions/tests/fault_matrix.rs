//! Checks the fault matrix: which tests cover each fault at each step of each program.
//!
//! `docs/faults.toml` holds the data and `docs/FAULTS.md` is generated from it. The tests fail
//! when the two differ or when a cell names a test that does not exist. The location of a test
//! determines the programs it covers: tests in a program's crate cover that program, tests of a
//! module of `decisions` cover the programs that use the module. Run with `UPDATE_DOCS=1` to
//! regenerate the page.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// A program whose faults the matrix covers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Program {
    /// `monsoonspread-entry`.
    Entry,
    /// `monsoonspread`, which runs on the users' platform.
    Platform,
}

const PROGRAMS: [Program; 2] = [Program::Entry, Program::Platform];

impl Program {
    fn name(self) -> &'static str {
        match self {
            Self::Entry => "monsoonspread-entry",
            Self::Platform => "monsoonspread",
        }
    }

    /// Folders with the code of the program, except `decisions`.
    fn folders(self) -> &'static [&'static str] {
        match self {
            Self::Entry => &[
                "crates/entry",
                "crates/ctl",
                "crates/model",
                "crates/borders/src/engine",
                "crates/borders/src/http",
                "crates/borders/src/instance_list",
                "crates/borders/src/service",
                "crates/borders/src/store",
            ],
            Self::Platform => &[
                "crates/relay",
                "platform",
                "crates/borders/src/http",
                "crates/borders/src/relay",
            ],
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Matrix {
    steps: Vec<Step>,
    faults: Vec<Fault>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    name: String,
    meaning: String,
    /// The meaning for `monsoonspread`, if it differs.
    on_platform: Option<String>,
    /// Why the step does not exist in `monsoonspread`; `None` if it does.
    not_on_platform: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Fault {
    name: String,
    expected: String,
    /// Steps at which the fault can't happen or can't matter.
    #[serde(default)]
    not_applicable: Vec<String>,
    /// Further such steps of `monsoonspread` only.
    #[serde(default)]
    not_applicable_on_platform: Vec<String>,
    /// Why the fault can't happen to `monsoonspread-entry`.
    not_on_entry: Option<String>,
    /// Why it can't happen to `monsoonspread`.
    not_on_platform: Option<String>,
    #[serde(default)]
    cells: Vec<Cell>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Cell {
    steps: Vec<String>,
    tests: Vec<String>,
}

/// Test names with the programs they cover.
type Tests = BTreeMap<String, BTreeSet<Program>>;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn matrix() -> Matrix {
    let text = fs::read_to_string(root().join("docs/faults.toml")).unwrap();
    toml::from_str(&text).unwrap()
}

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Module names that follow `prefix` in the sources of a folder.
fn modules_named(folder: &Path, prefix: &str) -> BTreeSet<String> {
    let mut files = Vec::new();
    collect_sources(folder, &mut files);
    let mut names = BTreeSet::new();
    for file in files {
        let text = fs::read_to_string(file).unwrap();
        for rest in text.split(prefix).skip(1) {
            let end = |letter: char| !letter.is_ascii_lowercase() && letter != '_';
            names.insert(rest.split(end).next().unwrap_or_default().to_owned());
        }
    }
    names
}

/// Modules of `decisions` that a program uses directly or transitively.
fn modules_of(program: Program) -> BTreeSet<String> {
    let mut modules = BTreeSet::new();
    let mut pending: Vec<String> = program
        .folders()
        .iter()
        .flat_map(|folder| modules_named(&root().join(folder), "_decisions::"))
        .collect();
    while let Some(module) = pending.pop() {
        let folder = root().join("crates/decisions/src").join(&module);
        if folder.is_dir() && modules.insert(module) {
            pending.extend(modules_named(&folder, "crate::"));
        }
    }
    modules
}

/// All test functions in the workspace.
fn known_tests() -> Tests {
    let modules: BTreeMap<Program, BTreeSet<String>> = PROGRAMS
        .iter()
        .map(|program| (*program, modules_of(*program)))
        .collect();
    let mut files = Vec::new();
    collect_sources(&root().join("crates"), &mut files);
    collect_sources(&root().join("platform"), &mut files);
    let mut tests = Tests::new();
    for file in files {
        let relative = file.strip_prefix(root()).unwrap().to_owned();
        let runs = PROGRAMS.into_iter().filter(|program| {
            let own = program.folders().iter();
            own.clone().any(|folder| relative.starts_with(folder))
                || modules[program].iter().any(|module| {
                    relative.starts_with(Path::new("crates/decisions/src").join(module))
                })
        });
        let runs: BTreeSet<Program> = runs.collect();
        for name in test_names(&fs::read_to_string(&file).unwrap()) {
            tests.entry(name).or_default().extend(&runs);
        }
    }
    tests
}

fn test_names(text: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut is_test = false;
    for line in text.lines().map(str::trim) {
        if line.starts_with("#[test]") || line.starts_with("#[tokio::test") {
            is_test = true;
            continue;
        }
        let function = line.strip_prefix("async ").unwrap_or(line);
        let Some(rest) = function.strip_prefix("fn ") else {
            continue;
        };
        if is_test && let Some((name, _)) = rest.split_once('(') {
            names.push(name.to_owned());
        }
        is_test = false;
    }
    names
}

impl Step {
    fn exists_for(&self, program: Program) -> bool {
        program == Program::Entry || self.not_on_platform.is_none()
    }
}

impl Fault {
    fn tests(&self, step: &str) -> impl Iterator<Item = &String> {
        let cells = self.cells.iter();
        cells
            .filter(move |cell| cell.steps.iter().any(|name| name == step))
            .flat_map(|cell| &cell.tests)
    }

    fn applies_to(&self, program: Program, step: &Step) -> bool {
        let names = |steps: &[String]| steps.contains(&step.name);
        let (reason, steps) = match program {
            Program::Entry => (&self.not_on_entry, &[][..]),
            Program::Platform => (&self.not_on_platform, &self.not_applicable_on_platform[..]),
        };
        let is_excluded = reason.is_some() || names(&self.not_applicable) || names(steps);
        step.exists_for(program) && !is_excluded
    }
}

/// Number of cells with tests and without.
#[derive(Default)]
struct Count {
    covered: usize,
    open: usize,
}

fn render_page(matrix: &Matrix, known: &Tests) -> String {
    let mut page = String::from("# Fault matrix\n\n");
    page.push_str(
        "Every fault (rows) at every step (columns), for `monsoonspread-entry` before the slash \
         and for `monsoonspread`, the program on the users' platform, behind it. A number counts \
         the tests named below that run the program, or a module of `decisions` that it uses; \
         `open` marks what no such test proves, and `-` what can't happen or can't matter. The \
         data are in `docs/faults.toml`; `cargo test -p monsoonspread-decisions --test \
         fault_matrix` compares, and finds out which program a test runs from where it stands.\n\n",
    );
    write_table(&mut page, matrix, known);
    write_steps(&mut page, matrix);
    write_faults(&mut page, matrix, known);
    page
}

fn write_table(page: &mut String, matrix: &Matrix, known: &Tests) {
    let names: Vec<&str> = matrix.steps.iter().map(|step| step.name.as_str()).collect();
    writeln!(page, "| fault | {} |", names.join(" | ")).unwrap();
    writeln!(page, "| --- |{}", " --- |".repeat(names.len())).unwrap();
    let mut counts: BTreeMap<Program, Count> = BTreeMap::new();
    for fault in &matrix.faults {
        write!(page, "| {} |", fault.name).unwrap();
        for step in &matrix.steps {
            let texts = PROGRAMS.map(|program| {
                if !fault.applies_to(program, step) {
                    return "-".to_owned();
                }
                let runs = |test: &&String| known.get(*test).is_some_and(|p| p.contains(&program));
                let tests: BTreeSet<&String> = fault.tests(&step.name).filter(runs).collect();
                let count = counts.entry(program).or_default();
                if tests.is_empty() {
                    count.open += 1;
                    return "open".to_owned();
                }
                count.covered += 1;
                tests.len().to_string()
            });
            write!(page, " {} |", texts.join(" / ")).unwrap();
        }
        page.push('\n');
    }
    page.push('\n');
    for (program, Count { covered, open }) in counts {
        let name = program.name();
        writeln!(
            page,
            "- `{name}`: {covered} cells name tests, {open} are open."
        )
        .unwrap();
    }
    page.push('\n');
}

fn write_steps(page: &mut String, matrix: &Matrix) {
    page.push_str("## Steps\n\n");
    for step in &matrix.steps {
        write!(page, "- **{}**: {}", step.name, step.meaning).unwrap();
        if let Some(meaning) = &step.on_platform {
            write!(page, "; on the platform, {meaning}").unwrap();
        }
        if let Some(reason) = &step.not_on_platform {
            write!(page, "; not on the platform: {reason}").unwrap();
        }
        page.push('\n');
    }
    page.push('\n');
}

fn write_faults(page: &mut String, matrix: &Matrix, known: &Tests) {
    page.push_str("## Faults and their tests\n\nBehind each test: e, it runs ");
    page.push_str(
        "`monsoonspread-entry` or a module of it; p, `monsoonspread` or a module of it.\n",
    );
    for fault in &matrix.faults {
        writeln!(page, "\n### {}\n\n{}\n", fault.name, fault.expected).unwrap();
        let reasons = [
            (Program::Entry, &fault.not_on_entry),
            (Program::Platform, &fault.not_on_platform),
        ];
        for (program, reason) in reasons {
            if let Some(reason) = reason {
                writeln!(page, "Not for `{}`: {reason}.\n", program.name()).unwrap();
            }
        }
        for cell in &fault.cells {
            let tests: Vec<String> = cell
                .tests
                .iter()
                .map(|test| test_with_programs(test, known))
                .collect();
            writeln!(page, "- {}: {}", cell.steps.join(", "), tests.join(", ")).unwrap();
        }
    }
}

fn test_with_programs(test: &str, known: &Tests) -> String {
    let programs = known.get(test).into_iter().flatten();
    let letters: Vec<&str> = programs
        .map(|program| match program {
            Program::Entry => "e",
            Program::Platform => "p",
        })
        .collect();
    format!("`{test}` ({})", letters.join(", "))
}

#[test]
fn every_named_test_exists_and_every_step_is_known() {
    let matrix = matrix();
    let known = known_tests();
    let steps: BTreeSet<&str> = matrix.steps.iter().map(|step| step.name.as_str()).collect();
    let mut errors = Vec::new();
    for fault in &matrix.faults {
        let named = fault.cells.iter().flat_map(|cell| &cell.steps);
        let unknown_steps = named
            .chain(&fault.not_applicable)
            .chain(&fault.not_applicable_on_platform)
            .filter(|step| !steps.contains(step.as_str()));
        errors.extend(unknown_steps.map(|step| format!("{}: step {step}", fault.name)));
        let tests = fault.cells.iter().flat_map(|cell| &cell.tests);
        let unknown_tests = tests.filter(|test| !known.contains_key(*test));
        errors.extend(unknown_tests.map(|test| format!("{}: test {test}", fault.name)));
    }
    assert!(
        errors.is_empty(),
        "docs/faults.toml names unknown steps or tests: {errors:#?}"
    );
}

/// Guards against counting a test of one program as coverage of the other.
#[test]
fn a_test_counts_for_the_programs_that_run_what_it_tests() {
    let known = known_tests();
    let runs = |test: &str| known[test].iter().copied().collect::<Vec<Program>>();
    assert_eq!(
        runs("request_that_breaks_two_engines_is_refused"),
        [Program::Entry]
    );
    assert_eq!(
        runs("a_safe_request_that_crashes_servers_is_quarantined"),
        [Program::Platform]
    );
    assert_eq!(runs("simultaneous_crashes_count_once"), PROGRAMS);
    assert_eq!(
        runs("lost_and_late_orders_never_overfill_an_engine"),
        [Program::Platform]
    );
}

#[test]
fn the_page_agrees_with_the_data() {
    let page = render_page(&matrix(), &known_tests());
    let file = root().join("docs/FAULTS.md");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&file, &page).unwrap();
    }
    let written = fs::read_to_string(&file).unwrap_or_default();
    assert!(
        written == page,
        "docs/FAULTS.md differs from docs/faults.toml; run with UPDATE_DOCS=1 to regenerate it"
    );
}
