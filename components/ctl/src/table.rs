//! Formatting of text tables.

/// Formats a table with left-aligned columns, each as wide as its widest cell.
pub fn text_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header_row = header.iter().map(|cell| cell.to_string()).collect();
    let mut text = format_row(&widths, &header_row);
    for row in rows {
        text += &format_row(&widths, row);
    }
    text
}

fn format_row(widths: &[usize], row: &Vec<String>) -> String {
    let cells = widths.iter().zip(row);
    let padded: Vec<String> = cells
        .map(|(width, cell)| format!("{cell:<width$}"))
        .collect();
    padded.join("  ").trim_end().to_string() + "\n"
}
