//! Prints sizes and times of manifests with increasing numbers of accounts: bytes of the body, of
//! the postcard encoding and of a delta of one account; time to parse, apply the delta and build
//! the index.

use std::fmt::Write;
use std::time::{Duration, Instant};

use coltsfootnotch_manifest::{ConfigIndex, KeyHash, Manifest, ManifestDelta};
use coltsfootnotch_types::Weight;

fn main() {
    println!(
        "accounts  text_bytes  body_bytes  postcard_bytes  delta_bytes  parse_ms  apply_ms  index_ms"
    );
    for accounts in [100, 1_000, 5_700, 20_000] {
        let text = text(accounts);
        let (parsed, parse) = timed(|| Manifest::parse("sizes", &text));
        let old = parsed.unwrap_or_else(|findings| panic!("{findings}"));
        let mut new = Manifest {
            number: 2,
            ..old.clone()
        };
        new.accounts[accounts / 2].weight = Weight::new(7).expect("7 is a weight");
        let delta = ManifestDelta::between(&old, &new);
        let delta_bytes = postcard::to_allocvec(&delta)
            .expect("a delta can be encoded")
            .len();
        let postcard_bytes = postcard::to_allocvec(&new)
            .expect("a manifest can be encoded")
            .len();
        let (applied, apply) = timed(|| delta.apply(&old));
        assert_eq!(applied.as_ref(), Ok(&new));
        let (index, build) = timed(|| ConfigIndex::new(new));
        let body_bytes = index.manifest().to_body().len();
        println!(
            "{accounts:8}  {:10}  {body_bytes:10}  {postcard_bytes:14}  {delta_bytes:11}  {:8.2}  {:8.2}  {:8.2}",
            text.len(),
            millis(parse),
            millis(apply),
            millis(build),
        );
    }
}

/// A manifest with the given number of accounts and 20 models.
fn text(accounts: usize) -> String {
    let mut text = "{ \"number\": 1, \"models\": [".to_owned();
    for model in 0..20 {
        // Writing to a string cannot fail.
        let _ = write!(text, "{{ \"name\": \"model-{model}\" }},");
    }
    text.push_str("], \"accounts\": [\n");
    for account in 0..accounts {
        let hash = KeyHash::of_key(&account.to_string());
        let _ = writeln!(
            text,
            "{{ \"name\": \"account-{account}\", \"key_hashes\": [\"{hash}\"] }},"
        );
    }
    text.push_str("] }");
    text
}

fn timed<T>(operation: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let result = operation();
    (result, start.elapsed())
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
