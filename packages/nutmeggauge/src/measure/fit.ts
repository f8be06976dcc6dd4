/**
 * Fits lines to measured points. The slope is the cost of one more account,
 * link or request; the line extrapolates to the design size.
 */
import {linearRegression, rSquared} from 'simple-statistics';

/** A measured figure and the line fitted to it. */
export interface Slope {
  /** Name of the figure, such as `gate.rss_mb_by_accounts`. */
  readonly name: string;
  /** Quantity that the measurement varies. */
  readonly xName: string;
  /** Unit of the figure. */
  readonly yName: string;
  readonly points: ReadonlyArray<readonly [number, number]>;
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variance that the line explains, 0 to 1. */
  readonly rSquared: number;
}

/**
 * Fits a line to `points` by least squares.
 *
 * @example
 * fitSlope('gate.rss_mb_by_accounts', 'client accounts', 'MB', [[100, 60], [1000, 63]]).slope;
 */
export function fitSlope(
  name: string,
  xName: string,
  yName: string,
  points: ReadonlyArray<readonly [number, number]>,
): Slope {
  const pairs = points.map(([x, y]) => [x, y]);
  const {m, b} = linearRegression(pairs);
  const fitRSquared = rSquared(pairs, x => m * x + b);
  return {
    name,
    xName,
    yName,
    points,
    slope: m,
    intercept: b,
    // R² is NaN if all values are equal; the line is exact then.
    rSquared: Number.isNaN(fitRSquared) ? 1 : fitRSquared,
  };
}
