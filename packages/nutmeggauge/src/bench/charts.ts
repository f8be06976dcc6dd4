/**
 * Plots of the bench as SVG, drawn by echarts without a browser.
 */
import * as echarts from 'echarts';
import type {EChartsOption} from 'echarts';

const WIDTH = 900;
const HEIGHT = 380;

/** One named series of bars or points. */
export interface ChartSeries {
  readonly name: string;
  readonly values: readonly number[];
}

function renderSvg(option: EChartsOption): string {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH,
    height: HEIGHT,
  });
  chart.setOption({
    animation: false,
    backgroundColor: '#fff',
    // Without a browser text widths are estimated too small.
    legend: {bottom: 0, itemGap: 36},
    grid: {left: 70, right: 20, top: 50, bottom: 70},
    ...option,
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

/**
 * Draws grouped bars.
 *
 * @param isLog - A logarithmic axis, for figures that span decades.
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

/** Points of a measurement and the line fitted to them. */
export interface FittedPoints {
  readonly name: string;
  readonly points: ReadonlyArray<readonly [number, number]>;
  readonly slope: number;
  readonly intercept: number;
}

/**
 * Draws measured points with their fitted lines.
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
