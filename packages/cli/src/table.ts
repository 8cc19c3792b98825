/**
 * Formats tables for the terminal.
 */

/** The cells of a row by column name. */
export type TableRow = Readonly<Record<string, string | number | boolean>>;

/**
 * Formats rows as a table with a header line. The columns are those of the first row.
 *
 * @example
 * process.stdout.write(formatTable([{ kind: "route", name: "plan" }]));
 */
export function formatTable(rows: readonly TableRow[]): string {
    if (rows.length === 0) {
        return "(none)\n";
    }
    const columns = Object.keys(rows[0]);
    const lines = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? "")))];
    const widths = columns.map((_, index) => Math.max(...lines.map(line => line[index].length)));
    return lines.map(line => `${line.map((cell, index) => cell.padEnd(widths[index])).join("  ").trimEnd()}\n`).join(
        "",
    );
}
