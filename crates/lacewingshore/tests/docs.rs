//! Compares the operators' pages with the binary and the sources.
//!
//! With `LACEWINGSHORE_WRITE_DOCS=1` the tables are rewritten instead of compared.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
    process::Command,
};

use model::{CellSettings, KeyInfo, Manifest, ServeSettings};
use serde::Deserialize;

const BINARY: &str = env!("CARGO_BIN_EXE_lacewingshore");
const TABLE_START: &str = "<!-- table -->\n";
const TABLE_END: &str = "<!-- end of table -->";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_default()
}

/// Runs the binary and returns its standard output.
fn run(arguments: &[&str]) -> String {
    match Command::new(BINARY).args(arguments).output() {
        Ok(output) => String::from_utf8_lossy(&output.stdout).into_owned(),
        Err(error) => panic!("{BINARY}: {error}"),
    }
}

/// Compares the table of a page with the expected one, or rewrites it.
fn check_or_write_table(page: &str, table: &str) {
    let path = root().join("docs").join(page);
    let text = read(&path);
    let Some((before, rest)) = text.split_once(TABLE_START) else {
        panic!("{page} has no table");
    };
    let Some((found, after)) = rest.split_once(TABLE_END) else {
        panic!("the table of {page} has no end");
    };
    if std::env::var_os("LACEWINGSHORE_WRITE_DOCS").is_some() {
        let fresh = format!("{before}{TABLE_START}{table}{TABLE_END}{after}");
        fs::write(path, fresh).unwrap_or_default();
        return;
    }
    let differ = |one: &str, other: &str| -> Vec<String> {
        let lines = one
            .lines()
            .filter(|line| !other.lines().any(|found| found == *line));
        lines.map(str::to_owned).collect()
    };
    let (missing, stale) = (differ(table, found), differ(found, table));
    assert!(
        found == table,
        "docs/{page} is stale; LACEWINGSHORE_WRITE_DOCS=1 writes it\nmissing: {missing:#?}\nstale: {stale:#?}"
    );
}

fn key_table(keys: &[KeyInfo]) -> String {
    let mut table =
        "| section | key | allowed | default | meaning |\n|---|---|---|---|---|\n".to_owned();
    for key in keys {
        table += &format!(
            "| `{}` | `{}` | {} | {} | {} |\n",
            key.section, key.key, key.allowed, key.default, key.meaning
        );
    }
    table
}

#[derive(Deserialize)]
struct EventRow {
    event: String,
    name: String,
    meaning: String,
}

fn catalogue() -> Vec<EventRow> {
    serde_json::from_str(&run(&["events", "--json"])).unwrap_or_default()
}

#[test]
fn settings_page_complete() {
    check_or_write_table("SETTINGS.md", &key_table(&ServeSettings::keys()));
}

#[test]
fn cell_page_complete() {
    check_or_write_table("CELL.md", &key_table(&CellSettings::keys()));
}

#[test]
fn manifest_page_complete() {
    check_or_write_table("MANIFEST.md", &key_table(&Manifest::keys()));
}

#[test]
fn events_page_complete() {
    let mut table = "| event | name | meaning |\n|---|---|---|\n".to_owned();
    for row in catalogue() {
        table += &format!("| {} | {} | {} |\n", row.event, row.name, row.meaning);
    }
    check_or_write_table("EVENTS.md", &table);
}

#[test]
fn events_have_distinct_numbers_and_names() {
    let rows = catalogue();
    assert!(rows.len() > 20, "{} events", rows.len());
    let mut numbers: Vec<&str> = rows.iter().map(|row| row.event.as_str()).collect();
    let mut names: Vec<&str> = rows.iter().map(|row| row.name.as_str()).collect();
    for texts in [&mut numbers, &mut names] {
        texts.sort_unstable();
        let count = texts.len();
        texts.dedup();
        assert_eq!(texts.len(), count, "a number or a name appears twice");
    }
}

/// Every event number in the sources and pages is in the catalogue, and a number that a source
/// writes as a literal has the name from the catalogue.
#[test]
fn events_mentioned_in_catalogue() {
    let rows = catalogue().into_iter();
    let names: BTreeMap<String, String> = rows.map(|row| (row.event, row.name)).collect();
    let mut files = Vec::new();
    find_files(&root().join("crates"), "rs", &mut files);
    find_files(&root().join("docs"), "md", &mut files);
    for file in files {
        let is_test = file.components().any(|part| part.as_os_str() == "tests");
        if is_test {
            continue;
        }
        let text = read(&file);
        for (at, _) in text.match_indices("E0") {
            check_event(&file, &text, at, &names);
        }
    }
}

fn check_event(file: &Path, text: &str, at: usize, names: &BTreeMap<String, String>) {
    let (head, tail) = text.split_at(at);
    let number: String = tail.chars().take(5).collect();
    let is_number = number.len() == 5
        && number.chars().skip(1).all(|c| c.is_ascii_digit())
        && !head.ends_with(|c: char| c.is_alphanumeric())
        && !tail.chars().nth(5).is_some_and(char::is_alphanumeric);
    if !is_number {
        return;
    }
    let Some(name) = names.get(&number) else {
        panic!(
            "{} mentions {number}, which is not in the catalogue",
            file.display()
        );
    };
    let message = tail
        .strip_prefix(&number)
        .and_then(|rest| rest.strip_prefix("\","))
        .and_then(|rest| rest.trim_start().strip_prefix('"'));
    let Some(message) = message else {
        return;
    };
    let is_name = |c: &char| c.is_alphanumeric() || *c == '-';
    let found: String = message.chars().take_while(is_name).collect();
    assert_eq!(&found, name, "{number} in {}", file.display());
}

/// The metrics page lists exactly the metrics that the sources record.
#[test]
fn metrics_page_complete() {
    let mut files = Vec::new();
    find_files(&root().join("crates"), "rs", &mut files);
    files.retain(|file| file.components().any(|part| part.as_os_str() == "src"));
    let names_in = |text: &str, quote: char| -> Vec<String> {
        let parts = text.split(quote).skip(1).step_by(2);
        let names = parts.filter(|part| {
            part.starts_with("lws_") && part.chars().all(|c| c.is_ascii_lowercase() || c == '_')
        });
        names.map(str::to_owned).collect()
    };
    let lines: Vec<String> = files
        .iter()
        .flat_map(|file| read(file).lines().map(str::to_owned).collect::<Vec<_>>())
        .collect();
    let mut recorded: Vec<String> = lines.iter().flat_map(|line| names_in(line, '"')).collect();
    let page = read(&root().join("docs/METRICS.md"));
    let listed: Vec<String> = page.lines().flat_map(|line| names_in(line, '`')).collect();
    recorded.sort_unstable();
    recorded.dedup();
    for name in &listed {
        assert!(
            recorded.contains(name),
            "docs/METRICS.md lists {name}, which nothing records"
        );
    }
    recorded.retain(|name| !listed.contains(name));
    assert_eq!(recorded, Vec::<String>::new(), "not in docs/METRICS.md");
}

/// The commands and options in the pages exist in the binary.
#[test]
fn commands_in_pages_exist() {
    let mut files = Vec::new();
    find_files(&root().join("docs"), "md", &mut files);
    files.push(root().join("README.md"));
    let top = run(&["--help"]);
    let mut checked = 0;
    for file in files {
        for line in read(&file).lines() {
            for command in commands_of(line) {
                check_command(&file, &command, &top);
                checked += 1;
            }
        }
    }
    assert!(checked > 30, "only {checked} commands were found");
}

/// The arguments after `lacewingshore` in each code span of the line.
fn commands_of(line: &str) -> Vec<Vec<String>> {
    let spans: Vec<&str> = match line.starts_with("    ") {
        true => vec![line],
        false => line.split('`').skip(1).step_by(2).collect(),
    };
    let mut commands = Vec::new();
    for span in spans {
        let span = span.split(" #").next().unwrap_or_default();
        let words: Vec<&str> = span.split_whitespace().collect();
        let program = words.iter().position(|word| *word == "lacewingshore");
        let Some(program) = program else {
            continue;
        };
        let before = words.get(..program).unwrap_or_default();
        let is_command = before
            .iter()
            .all(|word| *word == "$" || word.contains("KEY="));
        if is_command {
            let after = words.get(program + 1..).unwrap_or_default();
            commands.push(after.iter().map(|word| (*word).to_owned()).collect());
        }
    }
    commands
}

fn check_command(file: &Path, words: &[String], top: &str) {
    let mut path: Vec<&str> = Vec::new();
    let mut help = top.to_owned();
    for word in words {
        // A word such as `grant|withdraw` in `key grant|withdraw` names several commands.
        let ends = word.starts_with('-') || word.contains('|');
        if ends || !help.contains("\nCommands:\n") {
            break;
        }
        let is_listed = help.lines().any(|line| {
            line.strip_prefix("  ")
                .is_some_and(|line| line.split(' ').next() == Some(word))
        });
        assert!(
            is_listed,
            "{}: no command {}",
            file.display(),
            words.join(" ")
        );
        path.push(word);
        let arguments: Vec<&str> = path.iter().copied().chain(["--help"]).collect();
        help = run(&arguments);
    }
    for word in words.iter().filter(|word| word.starts_with("--")) {
        let option = word.trim_end_matches([',', '.', ';']);
        let is_known = help.contains(option) || top.contains(option);
        assert!(
            is_known,
            "{}: no option {option} in {}",
            file.display(),
            words.join(" ")
        );
    }
}

/// Pages that are named in code spans exist.
#[test]
fn pages_mentioned_exist() {
    let mut files = Vec::new();
    find_files(&root().join("docs"), "md", &mut files);
    for file in files {
        let text = read(&file);
        let names = text
            .lines()
            .flat_map(|line| line.split('`').skip(1).step_by(2));
        for name in names.filter(|name| name.ends_with(".md")) {
            let is_name = !name.contains([' ', '*', 'N']) || name == "EVENTS.md";
            let beside = file.with_file_name(name);
            let places = [root().join(name), root().join("docs").join(name), beside];
            let is_there = places.iter().any(|place| place.exists());
            assert!(is_there || !is_name, "{} names {name}", file.display());
        }
    }
}

fn find_files(dir: &Path, extension: &str, files: &mut Vec<PathBuf>) {
    let entries = fs::read_dir(dir).into_iter().flatten().flatten();
    for path in entries.map(|entry| entry.path()) {
        if path.is_dir() {
            find_files(&path, extension, files);
        } else if path.extension().is_some_and(|found| found == extension) {
            files.push(path);
        }
    }
}
