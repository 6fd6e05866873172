/** Text tables. */

/** Formats rows under a heading, columns aligned. */
export function formatTable(heading: readonly string[], rows: readonly string[][]): string {
  const all = [[...heading], ...rows];
  const widths = heading.map((_title, column) =>
    Math.max(...all.map((row) => (row[column] ?? '').length)),
  );
  return all
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
