//! Conversion of byte offsets to lines and columns.

use std::cell::Cell;

/// The line starts of a text.
pub(crate) struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
    /// The last offset looked up and its column. Findings come nearly in order, so counting on from
    /// here avoids rescanning a long line for each of them.
    last: Cell<(usize, usize)>,
}

impl<'a> LineIndex<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let starts = std::iter::once(0).chain(after_breaks).collect();
        Self {
            text,
            starts,
            last: Cell::new((0, 1)),
        }
    }

    /// Line and column of a byte offset, both counted from 1, columns in characters.
    pub(crate) fn line_column(&self, offset: usize) -> (usize, usize) {
        let line = self.starts.partition_point(|start| *start <= offset).max(1);
        let start = self.starts[line - 1];
        let (last, column) = self.last.get();
        let (from, column) = if (start..=offset).contains(&last) {
            (last, column)
        } else {
            (start, 1)
        };
        let between = self.text.get(from..offset).unwrap_or_default();
        let column = column + between.chars().count();
        self.last.set((offset, column));
        (line, column)
    }
}
