/** Formats report pages and tables as HTML and Markdown. */

const STYLE =
  'body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:4px 8px;text-align:right}';

const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

/**
 * Escapes text for HTML; ids and names in reports may come from callers.
 *
 * @example
 * formatHtml('<b>'); // '&lt;b&gt;'
 */
export function formatHtml(text: string): string {
  return text.replace(/[&<>"]/g, char => ENTITIES[char]);
}

/** A table with a header row and rows of text cells. */
export interface TextTable {
  readonly head: readonly string[];
  readonly rows: ReadonlyArray<readonly string[]>;
}

/**
 * Renders a table as an HTML table element.
 *
 * @example
 * renderHtmlTable({head: ['gate'], rows: [['gate-1']]});
 */
export function renderHtmlTable({head, rows}: TextTable): string {
  const renderRow = (row: readonly string[], tag: string) =>
    `<tr>${row.map(c => `<${tag}>${formatHtml(c)}</${tag}>`).join('')}</tr>`;
  const body = rows.map(row => renderRow(row, 'td')).join('\n');
  return `<table>${renderRow(head, 'th')}\n${body}</table>`;
}

/**
 * Formats a table as Markdown. Replaces vertical bars and control characters
 * in cells by spaces: a line break in a route's name would end the table row,
 * and an escape sequence would change the terminal's colors.
 *
 * @example
 * formatTextTable({head: ['gate'], rows: [['gate-1']]});
 */
export function formatTextTable({head, rows}: TextTable): string {
  return [head, head.map(() => '---'), ...rows]
    .map(row => row.map(cell => cell.replace(/[|\p{Cc}]/gu, ' ')))
    .map(row => `| ${row.join(' | ')} |`)
    .join('\n');
}

/**
 * Renders a complete HTML page.
 *
 * @param parts - HTML fragments of the body, in order.
 * @example
 * renderPage('nutmeggauge bench: quick', [renderHtmlTable(table)]);
 */
export function renderPage(title: string, parts: readonly string[]): string {
  return `<!doctype html>
<html lang="en"><meta charset="utf-8"><title>${formatHtml(title)}</title>
<style>${STYLE}</style>
<h1>${formatHtml(title)}</h1>
${parts.join('\n')}
</html>
`;
}
