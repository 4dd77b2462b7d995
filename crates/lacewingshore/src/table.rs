/// A text table with aligned columns.
#[derive(Clone, Debug, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a header row.
    pub fn new(header: &[&str]) -> Self {
        Self {
            rows: vec![header.iter().map(|text| (*text).to_owned()).collect()],
        }
    }

    /// Adds a row.
    pub fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// The lines of the table: numbers are aligned to the right, other text to the left.
    pub fn lines(&self) -> Vec<String> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let line = |row: &Vec<String>| {
            let cells = row.iter().zip(&widths).map(|(cell, width)| {
                let is_number = cell.starts_with(|c: char| c.is_ascii_digit() || c == '-');
                match is_number {
                    true => format!("{cell:>width$}"),
                    false => format!("{cell:<width$}"),
                }
            });
            let cells: Vec<String> = cells.collect();
            cells.join("  ").trim_end().to_owned()
        };
        self.rows.iter().map(line).collect()
    }

    /// Prints the table.
    pub fn print(&self) {
        for line in self.lines() {
            println!("{line}");
        }
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}
