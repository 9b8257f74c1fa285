/** Straight lines through measured points, by least squares. */

/** A measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A line and how far the points are from it. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
  /** Root of the mean squared distance, in units of y. */
  readonly error: number;
}

/** The line with the least squared distance. */
export function fitLine(points: readonly Point[]): Line {
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanX = mean(points.map(point => point.x));
  const meanY = mean(points.map(point => point.y));
  const covariance = mean(points.map(p => (p.x - meanX) * (p.y - meanY)));
  const variance = mean(points.map(point => (point.x - meanX) ** 2));
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const squares = points.map(p => (p.y - intercept - slope * p.x) ** 2);
  return {intercept, slope, error: Math.sqrt(mean(squares))};
}
