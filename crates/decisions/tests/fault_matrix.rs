//! The fault matrix: every fault at every step names its tests or says that it is open.
//!
//! `docs/faults.toml` is the data. `docs/FAULTS.md` is its readable form, and this test fails
//! when the two differ or when a cell names a test that does not exist. Run it with
//! `UPDATE_DOCS=1` to write the page anew.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;

#[derive(Deserialize)]
struct Matrix {
    steps: Vec<Step>,
    faults: Vec<Fault>,
}

#[derive(Deserialize)]
struct Step {
    name: String,
    meaning: String,
}

#[derive(Deserialize)]
struct Fault {
    name: String,
    expected: String,
    /// Steps at which the fault can't happen or can't matter.
    #[serde(default)]
    not_applicable: Vec<String>,
    #[serde(default)]
    cells: Vec<Cell>,
}

#[derive(Deserialize)]
struct Cell {
    steps: Vec<String>,
    tests: Vec<String>,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn matrix() -> Matrix {
    let text = fs::read_to_string(root().join("docs/faults.toml")).unwrap();
    toml::from_str(&text).unwrap()
}

/// Names of all functions marked as tests in the workspace.
fn known_tests() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    collect_tests(&root().join("crates"), &mut names);
    names
}

fn collect_tests(folder: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_tests(&path, names);
            continue;
        }
        if path.extension().is_some_and(|ending| ending == "rs") {
            collect_from(&fs::read_to_string(&path).unwrap(), names);
        }
    }
}

fn collect_from(text: &str, names: &mut BTreeSet<String>) {
    let mut marked = false;
    for line in text.lines().map(str::trim) {
        if line.starts_with("#[test]") || line.starts_with("#[tokio::test") {
            marked = true;
            continue;
        }
        let function = line.strip_prefix("async ").unwrap_or(line);
        let Some(rest) = function.strip_prefix("fn ") else {
            continue;
        };
        if marked && let Some((name, _)) = rest.split_once('(') {
            names.insert(name.to_owned());
        }
        marked = false;
    }
}

impl Fault {
    fn tests(&self, step: &str) -> Vec<&str> {
        self.cells
            .iter()
            .filter(|cell| cell.steps.iter().any(|name| name == step))
            .flat_map(|cell| cell.tests.iter().map(String::as_str))
            .collect()
    }

    fn is_open(&self, step: &str) -> bool {
        self.tests(step).is_empty() && !self.not_applicable.iter().any(|name| name == step)
    }
}

fn page(matrix: &Matrix) -> String {
    let mut page = String::from("# Fault matrix\n\n");
    page.push_str("Every fault (rows) at every step (columns). ");
    page.push_str(
        "A number counts the tests named below, `open` marks a cell that no test proves, ",
    );
    page.push_str("and `-` one where the fault can't happen or can't matter. ");
    page.push_str("The data are in `docs/faults.toml`; ");
    page.push_str("`cargo test -p monsoonspread-decisions --test fault_matrix` compares.\n\n");
    write_table(&mut page, matrix);
    write_steps(&mut page, matrix);
    write_faults(&mut page, matrix);
    page
}

fn write_table(page: &mut String, matrix: &Matrix) {
    let names: Vec<&str> = matrix.steps.iter().map(|step| step.name.as_str()).collect();
    writeln!(page, "| fault | {} |", names.join(" | ")).unwrap();
    writeln!(page, "| --- |{}", " --- |".repeat(names.len())).unwrap();
    let mut open = 0;
    let mut proved = 0;
    for fault in &matrix.faults {
        write!(page, "| {} |", fault.name).unwrap();
        for step in &names {
            let tests = fault.tests(step).len();
            let text = match (tests, fault.is_open(step)) {
                (0, true) => "open".to_owned(),
                (0, false) => "-".to_owned(),
                _ => tests.to_string(),
            };
            open += usize::from(fault.is_open(step));
            proved += usize::from(tests > 0);
            write!(page, " {text} |").unwrap();
        }
        page.push('\n');
    }
    writeln!(page, "\n{proved} cells name tests, {open} are open.\n").unwrap();
}

fn write_steps(page: &mut String, matrix: &Matrix) {
    page.push_str("## Steps\n\n");
    for step in &matrix.steps {
        writeln!(page, "- **{}**: {}", step.name, step.meaning).unwrap();
    }
    page.push('\n');
}

fn write_faults(page: &mut String, matrix: &Matrix) {
    page.push_str("## Faults and their tests\n");
    for fault in &matrix.faults {
        writeln!(page, "\n### {}\n\n{}\n", fault.name, fault.expected).unwrap();
        for cell in &fault.cells {
            let tests: Vec<String> = cell.tests.iter().map(|test| format!("`{test}`")).collect();
            writeln!(page, "- {}: {}", cell.steps.join(", "), tests.join(", ")).unwrap();
        }
    }
}

#[test]
fn every_named_test_exists_and_every_step_is_known() {
    let matrix = matrix();
    let known = known_tests();
    let steps: BTreeSet<&str> = matrix.steps.iter().map(|step| step.name.as_str()).collect();
    let mut wrong = Vec::new();
    for fault in &matrix.faults {
        let named = fault.cells.iter().flat_map(|cell| &cell.steps);
        let unknown_steps = named
            .chain(&fault.not_applicable)
            .filter(|step| !steps.contains(step.as_str()));
        wrong.extend(unknown_steps.map(|step| format!("{}: step {step}", fault.name)));
        let tests = fault.cells.iter().flat_map(|cell| &cell.tests);
        let unknown_tests = tests.filter(|test| !known.contains(*test));
        wrong.extend(unknown_tests.map(|test| format!("{}: test {test}", fault.name)));
    }
    assert!(
        wrong.is_empty(),
        "docs/faults.toml names what is not there: {wrong:#?}"
    );
}

#[test]
fn the_page_agrees_with_the_data() {
    let page = page(&matrix());
    let file = root().join("docs/FAULTS.md");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&file, &page).unwrap();
    }
    let written = fs::read_to_string(&file).unwrap_or_default();
    assert!(
        written == page,
        "docs/FAULTS.md is not what docs/faults.toml says"
    );
}
