/** HTML pages of reports: their frame and their tables. */

const STYLE =
  'body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:4px 8px;text-align:right}';

const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

/**
 * Makes text safe inside a page: ids and names come from callers.
 *
 * @example
 * formatHtml('<b>'); // '&lt;b&gt;'
 */
export function formatHtml(text: string): string {
  return text.replace(/[&<>"]/g, char => ENTITIES[char]);
}

/** A table of text: a row of titles, and rows of cells. */
export interface TextTable {
  readonly head: readonly string[];
  readonly rows: ReadonlyArray<readonly string[]>;
}

/**
 * Renders a table as HTML.
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
 * Formats a table as Markdown. Bars and control characters become spaces: a
 * route's name with a line break would end its row, an escape colour the screen.
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
 * Renders a whole page.
 *
 * @param parts - HTML, in order.
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
