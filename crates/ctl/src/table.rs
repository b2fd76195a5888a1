//! Tables for people.

use std::fmt;

const GAP: usize = 2;

/// A table whose columns are as wide as their widest cell.
pub(crate) struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    pub(crate) fn new(titles: [&str; N]) -> Self {
        Self {
            rows: vec![titles.map(str::to_uppercase)],
        }
    }

    pub(crate) fn push(&mut self, row: [String; N]) {
        self.rows
            .push(row.map(|cell| cell.replace(char::is_control, "?")));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    fn widths(&self) -> [usize; N] {
        let mut widths = [0; N];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }
}

impl<const N: usize> fmt::Display for Table<N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(widths) {
                line += &format!("{cell:<0$}", width + GAP);
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
