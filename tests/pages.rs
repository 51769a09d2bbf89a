//! The pages in `docs/` match the code.

#[path = "../examples/embed_late_binding.rs"]
#[expect(dead_code, reason = "the example's own main")]
mod embed_late_binding;
#[path = "../examples/embed_log.rs"]
#[expect(dead_code, reason = "the example's own main")]
mod embed_log;

use std::fs;
use std::path::{Path, PathBuf};

use coltsfootnotch::core::{Refusal, RefusalKind};
use coltsfootnotch_state::{ConfigReply, Reply};
use googletest::prelude::*;

const REFUSALS_HEADER: &str = "| type | status | run | Retry-After | message |";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).to_owned()
}

fn page(name: &str) -> String {
    let path = root().join("docs").join(name);
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Returns the cells of the table whose header row starts with `header`.
fn rows(page: &str, header: &str) -> Vec<Vec<String>> {
    let lines = page.lines().skip_while(|line| !line.starts_with(header));
    let rows = lines.skip(2).take_while(|line| line.starts_with('|'));
    let cells = |line: &str| {
        let cells = line.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().replace('`', "")).collect()
    };
    rows.map(cells).collect()
}

#[googletest::test]
fn the_table_of_refusals_matches_the_code() {
    let page = rows(&page("INTERFACE.md"), REFUSALS_HEADER);
    let documented: Vec<[String; 3]> = page
        .iter()
        .map(|row| [row[0].clone(), row[1].clone(), row[4].clone()])
        .collect();
    let in_code = |kind: &RefusalKind| {
        let name = serde_json::to_value(kind).unwrap_or_default();
        let name = name.as_str().unwrap_or_default().to_owned();
        let status = Refusal::not_run(*kind).status().as_u16().to_string();
        [name, status, kind.to_string()]
    };
    let expected: Vec<[String; 3]> = RefusalKind::ALL.iter().map(in_code).collect();
    expect_that!(documented, eq(&expected));
}

/// Guards against a kind that is missing from both `ALL` and the page.
#[googletest::test]
fn all_refusal_kinds_are_listed() {
    let source = include_str!("../src/coltsfootnotch/core/refusal.rs");
    let variants = source
        .lines()
        .skip_while(|line| !line.starts_with("pub enum RefusalKind"));
    let variants = variants.take_while(|line| *line != "}");
    let variants = variants.filter(|line| line.trim_start().starts_with("#[display"));
    expect_that!(RefusalKind::ALL.len(), eq(variants.count()));
}

#[googletest::test]
fn links_between_pages_are_valid() {
    let mut broken = vec![];
    let mut pages: Vec<PathBuf> = vec![root().join("README.md"), root().join("CHANGELOG.md")];
    for folder in ["docs", "docs/design"] {
        let entries = fs::read_dir(root().join(folder)).expect("the docs folder is readable");
        let files = entries.filter_map(|entry| entry.ok().map(|entry| entry.path()));
        pages.extend(files.filter(|path| path.extension().is_some_and(|ext| ext == "md")));
    }
    for path in &pages {
        let text = fs::read_to_string(path).unwrap_or_default();
        let folder = path.parent().expect("a page has a parent folder");
        for link in text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split([')', '#']).next())
        {
            if !link.is_empty() && !link.contains("://") && !folder.join(link).exists() {
                broken.push(format!("{}: {link}", path.display()));
            }
        }
    }
    expect_that!(pages.len(), ge(10));
    expect_that!(broken, is_empty());
}

/// `docs/DESIGN.md` links every note in `docs/design/`.
#[googletest::test]
fn design_notes_are_indexed() {
    let index = page("DESIGN.md");
    let notes = fs::read_dir(root().join("docs/design"))
        .expect("the folder of the design notes is readable");
    let names = notes.filter_map(|note| note.ok()?.file_name().into_string().ok());
    let missing: Vec<String> = names
        .filter(|name| !index.contains(&format!("](design/{name})")))
        .collect();
    expect_that!(missing, is_empty());
}

/// Of two conflicting configurations one is accepted, and a repeated one gets the same reply, as EMBEDDING.md
/// says.
#[googletest::test]
fn the_log_example_runs() -> googletest::Result<()> {
    let replies = embed_log::run().or_fail()?;
    let accepted = matches_pattern!(Reply::Config(matches_pattern!(
        ConfigReply::Accepted { .. }
    )));
    let conflict = matches_pattern!(Reply::Config(matches_pattern!(
        ConfigReply::Conflict { .. }
    )));
    expect_that!(replies, elements_are![accepted, conflict, anything()]);
    expect_that!(replies[2], eq(&replies[0]));
    Ok(())
}

/// A small account isn't queued behind the twenty earlier requests of another account.
#[googletest::test]
fn the_late_binding_example_runs() -> googletest::Result<()> {
    let started = embed_late_binding::run().or_fail()?;
    expect_that!(started.len(), eq(22));
    let small = started
        .iter()
        .rposition(|account| account.as_str() == "small-applicator");
    expect_that!(small, some(le(7)));
    Ok(())
}
