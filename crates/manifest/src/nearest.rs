//! The known word nearest to a misspelt one.

/// Longest word that is compared; the comparison costs the product of the lengths.
const MAX_COMPARED: usize = 64;

/// The word of `known` that takes the fewest edits to reach, if a third of its letters or fewer
/// would change; farther words are no help to the reader.
pub(crate) fn nearest<'k>(word: &str, known: impl IntoIterator<Item = &'k str>) -> Option<&'k str> {
    if word.len() > MAX_COMPARED {
        return None;
    }
    let scored = known
        .into_iter()
        .map(|candidate| (edits(word, candidate), candidate));
    let (distance, candidate) = scored.min()?;
    let longest = word.chars().count().max(candidate.chars().count());
    (distance * 3 <= longest.max(3)).then_some(candidate)
}

fn edits(from: &str, to: &str) -> usize {
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
