/**
 * Renders the charts of `bench`, `measure` and `losses` as SVG, using echarts
 * without a browser.
 */
import * as echarts from 'echarts';
import type {CustomSeriesRenderItem, EChartsOption} from 'echarts';

const WIDTH = 900;
const HEIGHT = 380;

/** One named series of bars, with one value per category. */
export interface ChartSeries {
  readonly name: string;
  readonly values: readonly number[];
}

function renderSvg(option: EChartsOption, height = HEIGHT): string {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH,
    height,
  });
  chart.setOption({
    animation: false,
    backgroundColor: '#fff',
    // Wide gaps, because echarts underestimates text widths without a browser.
    legend: {bottom: 0, itemGap: 36},
    grid: {left: 70, right: 20, top: 50, bottom: 70},
    ...option,
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

/**
 * Renders a grouped bar chart.
 *
 * @param isLog - Whether to use a logarithmic axis, for values that span
 * several orders of magnitude.
 * @example
 * renderBars('TTFT p95 (ms)', ['1k-8k', '8k-32k'], [{name: 'round-robin', values: [40, 90]}], true);
 */
export function renderBars(
  title: string,
  categories: readonly string[],
  series: readonly ChartSeries[],
  isLog = false,
): string {
  return renderSvg({
    title: {text: title},
    xAxis: {
      type: 'category',
      data: [...categories],
      axisLabel: {interval: 0, fontSize: 10},
    },
    yAxis: isLog ? {type: 'log', logBase: 10} : {type: 'value'},
    series: series.map(({name, values}) => ({
      name,
      type: 'bar' as const,
      data: values.map(value => (value > 0 ? Number(value.toFixed(3)) : null)),
    })),
  });
}

/** Measured points and the line fitted to them. */
export interface FittedPoints {
  readonly name: string;
  readonly points: ReadonlyArray<readonly [number, number]>;
  readonly slope: number;
  readonly intercept: number;
}

/**
 * Renders measured points together with their fitted lines.
 *
 * @example
 * renderFits('Gate memory', 'client accounts', 'MB', [fit]);
 */
export function renderFits(
  title: string,
  xName: string,
  yName: string,
  fits: readonly FittedPoints[],
): string {
  return renderSvg({
    title: {text: title},
    xAxis: {type: 'value', name: xName, nameLocation: 'middle', nameGap: 28},
    yAxis: {type: 'value', name: yName},
    series: fits.flatMap(({name, points, slope, intercept}) => {
      const xs = points.map(([x]) => x);
      const ends = [Math.min(...xs), Math.max(...xs)];
      return [
        {name, type: 'scatter' as const, data: points.map(p => [...p])},
        {
          name: `${name} (fit)`,
          type: 'line' as const,
          showSymbol: false,
          data: ends.map(x => [x, intercept + slope * x]),
        },
      ];
    }),
  });
}

/** One time span in a lane of a timeline chart. */
export interface LaneSpan {
  /** Index of the lane that contains the span. */
  readonly lane: number;
  readonly from: number;
  readonly to: number;
}

/** Time spans of one kind, drawn in the same color. */
export interface SpanSeries {
  readonly name: string;
  readonly color: string;
  /** Opacity from 0 to 1; overlapping bars appear darker. */
  readonly opacity: number;
  readonly spans: readonly LaneSpan[];
}

/** Height of one lane, in px. */
const LANE_HEIGHT = 11;

/**
 * Margins of a timeline chart for lane names, title, axis and legend, in px.
 */
const LANES_GRID = {left: 190, right: 20, top: 50, bottom: 70};

/** Share of a lane's height that bars fill. */
const LANE_FILL_RATIO = 0.8;

/** Renders one bar, clipped at the edges of the plot area. */
const renderSpan: CustomSeriesRenderItem = (params, api) => {
  const [x, y] = api.coord([api.value(0), api.value(2)]);
  const [right] = api.coord([api.value(1), api.value(2)]);
  const height = LANE_HEIGHT * LANE_FILL_RATIO;
  const plotArea = params.coordSys as unknown as {x: number; width: number};
  const from = Math.max(x, plotArea.x);
  const to = Math.min(Math.max(right, x + 1), plotArea.x + plotArea.width);
  if (to <= from) return undefined;
  return {
    type: 'rect',
    shape: {x: from, y: y - height / 2, width: to - from, height},
    style: {fill: api.visual('color'), opacity: Number(api.value(3))},
  };
};

/**
 * Renders a timeline chart with named lanes, the first lane on top.
 *
 * @param range - Start and end of the time axis.
 * @example
 * renderLanes('Engines', 's', ['e1 reads'], [0, 5], [{name: 'reading', color: '#48f', opacity: 0.4, spans: [{lane: 0, from: 1, to: 2}]}]);
 */
export function renderLanes(
  title: string,
  xName: string,
  lanes: readonly string[],
  range: readonly [number, number],
  series: readonly SpanSeries[],
): string {
  return renderSvg(
    {
      title: {text: title, textStyle: {fontSize: 14}},
      grid: LANES_GRID,
      xAxis: {
        type: 'value',
        name: xName,
        nameLocation: 'middle',
        nameGap: 24,
        min: range[0],
        max: range[1],
      },
      yAxis: {
        type: 'category',
        data: [...lanes],
        inverse: true,
        axisLabel: {interval: 0, fontSize: 9},
        splitLine: {show: true},
      },
      series: series.map(({name, color, opacity, spans}) => ({
        name,
        type: 'custom' as const,
        itemStyle: {color},
        renderItem: renderSpan,
        data: spans.map(({lane, from, to}) => [from, to, lane, opacity]),
      })),
    },
    LANES_GRID.top + LANES_GRID.bottom + lanes.length * LANE_HEIGHT,
  );
}
