//! Names of the code in the docs exist: identifiers in docs/GLOSSARY.md, source paths in all pages.

use std::fs;
use std::path::{Path, PathBuf};

/// Folders that hold the sources which the docs name.
const SOURCE_FOLDERS: [&str; 4] = ["src", "platform", "tests", "examples"];

fn files_below(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the folder entry can be read").path();
        match path.is_dir() {
            true => files.extend(files_below(&path, extension)),
            false if path.extension().is_some_and(|found| found == extension) => files.push(path),
            false => {}
        }
    }
    files
}

fn source_files() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    SOURCE_FOLDERS.iter().flat_map(|folder| files_below(&root.join(folder), "rs")).collect()
}

/// The texts in backticks of a page.
fn code_spans(page: &str) -> impl Iterator<Item = &str> {
    page.lines().flat_map(|line| line.split('`').skip(1).step_by(2))
}

fn identifiers(text: &str) -> impl Iterator<Item = &str> {
    text.split(|c: char| !c.is_alphanumeric() && c != '_').filter(|word| !word.is_empty())
}

#[test]
fn names_in_the_glossary_exist_in_the_sources() {
    let sources: Vec<String> =
        source_files().iter().map(|path| fs::read_to_string(path).expect("a source")).collect();
    let exists = |name: &str| sources.iter().any(|text| identifiers(text).any(|word| word == name));
    let spans = code_spans(include_str!("../docs/GLOSSARY.md"));
    let names = spans.filter(|span| !span.contains(['/', '.'])).flat_map(identifiers);
    let missing: Vec<&str> = names.filter(|name| !exists(name)).collect();
    assert!(missing.is_empty(), "not in the sources: {missing:?}");
}

#[test]
fn source_files_named_in_the_docs_exist() {
    let files = source_files();
    let exists = |name: &str| files.iter().any(|path| path.ends_with(name));
    let mut missing = Vec::new();
    for page in files_below(&Path::new(env!("CARGO_MANIFEST_DIR")).join("docs"), "md") {
        let text = fs::read_to_string(&page).expect("the page can be read");
        let named = code_spans(&text).filter(|span| span.ends_with(".rs") && !span.contains('{'));
        missing
            .extend(named.filter(|name| !exists(name)).map(|name| (page.clone(), name.to_owned())));
    }
    assert!(missing.is_empty(), "no such source file: {missing:?}");
}
