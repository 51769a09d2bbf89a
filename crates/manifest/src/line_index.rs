//! From byte offsets to lines and columns.

/// The starts of the lines of a text.
pub(crate) struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        let starts = std::iter::once(0).chain(after_breaks).collect();
        Self { text, starts }
    }

    /// Line and column of a byte offset, both from 1, columns in characters.
    pub(crate) fn place(&self, offset: usize) -> (usize, usize) {
        let line = self.starts.partition_point(|start| *start <= offset).max(1);
        let start = self.starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        (line, before.chars().count() + 1)
    }
}
