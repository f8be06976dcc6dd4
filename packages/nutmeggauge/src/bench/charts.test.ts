import {describe, it} from 'node:test';
import {expect} from 'earl';
import {renderLanes} from './charts.js';
import {formatHtml, formatTextTable, renderHtmlTable} from './page.js';

/** Returns left edge, top and width of the bars of one color, in px. */
function readBars(svg: string, color: string) {
  const bars = svg.matchAll(
    new RegExp(
      `<path d="M([\\d.]+) ([\\d.]+)l([\\d.]+) [^"]*" fill="${color}"`,
      'g',
    ),
  );
  return [...bars].map(([, x, y, width]) => ({
    x: Math.round(Number(x)),
    y: Math.round(Number(y)),
    width: Math.round(Number(width)),
  }));
}

describe('renderLanes', () => {
  it('positions bars by lane and time and clips them to the plot area', () => {
    // Lane a is busy during the first half of the time axis. Lane b is busy
    // from the middle of the axis to past its end, and again after its end.
    const svg = renderLanes(
      't',
      's',
      ['a', 'b'],
      [0, 10],
      [
        {
          name: 'work',
          color: '#123456',
          opacity: 0.5,
          spans: [
            {lane: 0, from: -5, to: 5},
            {lane: 1, from: 5, to: 50},
            {lane: 1, from: 20, to: 30},
          ],
        },
      ],
    );
    const [upper, lower, ...rest] = readBars(svg, '#123456');
    expect(rest).toEqual([]);
    // The plot area starts at x = 190 and is 690 px wide; a lane is 11 px high.
    expect([upper.x, upper.width]).toEqual([190, 345]);
    expect([lower.x, lower.width]).toEqual([535, 345]);
    expect(lower.y - upper.y).toEqual(11);
  });

  it('renders an SVG without bars if there are no lanes and no series', () => {
    const svg = renderLanes('t', 's', [], [0, 1], []);
    expect(svg.startsWith('<svg')).toEqual(true);
  });
});

describe('report table formatting', () => {
  it('escapes markup in HTML and replaces vertical bars and control characters in Markdown', () => {
    const table = {head: ['id'], rows: [['a<b>&"']]};
    expect(renderHtmlTable(table)).toInclude('<td>a&lt;b&gt;&amp;&quot;</td>');
    expect(formatHtml('plain')).toEqual('plain');
    expect(formatTextTable(table)).toEqual('| id |\n| --- |\n| a<b>&" |');
    const unsafeTable = {head: ['id'], rows: [['a\n|\u001b[1mb']]};
    expect(formatTextTable(unsafeTable)).toEqual(
      '| id |\n| --- |\n| a   [1mb |',
    );
  });
});
