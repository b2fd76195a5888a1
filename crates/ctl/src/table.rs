//! Tables in plain text.

use std::fmt;

/// Spaces between two columns.
const COLUMN_GAP: usize = 2;

/// A table whose columns are as wide as their widest cells.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new<'a>(titles: impl IntoIterator<Item = &'a str>) -> Self {
        let titles = titles.into_iter().map(str::to_uppercase);
        Self {
            rows: vec![titles.collect()],
        }
    }

    /// Adds a row, which must have a cell for each title.
    pub(crate) fn push(&mut self, row: impl IntoIterator<Item = String>) {
        let cells = row
            .into_iter()
            .map(|cell| cell.replace(char::is_control, "?"));
        self.rows.push(cells.collect());
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths = vec![0; self.rows[0].len()];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line += &format!("{cell:<0$}", width + COLUMN_GAP);
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
