//! Plain text tables with aligned columns.

/// Formats rows as a table with column heads, one line a row.
///
/// # Examples
///
/// ```
/// let rows = [vec!["a".to_owned(), "1".to_owned()]];
/// let table = radishgauge_cli::table::table(&["NAME", "SLOTS"], &rows);
/// assert_eq!(table, "NAME  SLOTS\na     1\n");
/// ```
pub fn table(heading: &[&str], rows: &[Vec<String>]) -> String {
    let widths: Vec<usize> = heading
        .iter()
        .enumerate()
        .map(|(column, head)| {
            let cells = rows.iter().filter_map(|row| row.get(column));
            let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
            widest.max(head.chars().count())
        })
        .collect();
    let mut text = String::new();
    let heading: Vec<String> = heading.iter().map(|head| (*head).to_owned()).collect();
    for row in [&heading].into_iter().chain(rows) {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
