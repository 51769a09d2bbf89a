//! Suggestions for misspelt words.

/// Longest word in bytes that is compared; the cost is the product of the lengths.
const MAX_WORD_BYTES: usize = 64;

/// The candidate with the smallest edit distance to `word`, if at most a third of its letters
/// differ.
pub(crate) fn closest_match<'c>(
    word: &str,
    candidates: impl IntoIterator<Item = &'c str>,
) -> Option<&'c str> {
    if word.len() > MAX_WORD_BYTES {
        return None;
    }
    let scored = candidates
        .into_iter()
        .map(|candidate| (edit_distance(word, candidate), candidate));
    let (distance, candidate) = scored.min()?;
    let longest = word.chars().count().max(candidate.chars().count());
    (distance * 3 <= longest.max(3)).then_some(candidate)
}

/// The Levenshtein distance.
fn edit_distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (i, a) in from.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in to.iter().enumerate() {
            let replaced = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[to.len()]
}
