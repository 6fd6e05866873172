/** Plain-text tables. */

/** Formats rows below a heading, with aligned columns. */
export function formatTable(heading: readonly string[], rows: readonly string[][]): string {
  const allRows = [[...heading], ...rows];
  const widths = heading.map((_title, column) =>
    Math.max(...allRows.map((row) => (row[column] ?? '').length)),
  );
  return allRows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
