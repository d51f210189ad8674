//! Tables for people.

/// Formats rows under a head, each column as wide as its widest cell.
pub fn text_table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head = head.iter().map(|cell| cell.to_string()).collect();
    let mut text = line(&widths, &head);
    for row in rows {
        text += &line(&widths, row);
    }
    text
}

fn line(widths: &[usize], row: &Vec<String>) -> String {
    let cells = widths.iter().zip(row);
    let padded: Vec<String> = cells
        .map(|(width, cell)| format!("{cell:<width$}"))
        .collect();
    padded.join("  ").trim_end().to_string() + "\n"
}
