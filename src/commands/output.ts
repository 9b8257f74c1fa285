/** What commands print: aligned columns for people, JSON for programs. */

/** Rows of text under their headings. */
export function alignRows(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...all.map(row => (row[column] ?? '').length)),
  );
  const lines = all.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return lines.join('\n');
}

/** A field of a record as text. */
export function cellOf(value: unknown): string {
  if (value === undefined || value === null) return '-';
  if (Array.isArray(value)) return value.join(' ') || '-';
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Prints one line or several to the standard output. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Prints a value as indented JSON. */
export function printJson(value: unknown): void {
  print(JSON.stringify(value, undefined, 2));
}
