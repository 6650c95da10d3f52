/** Exponential smoothing with separate time constants for rise and fall. Owns no state. */

/**
 * Moves a smoothed value towards the current measurement.
 *
 * `elapsedS`: seconds since the last measurement. `riseTimeConstantS`, `fallTimeConstantS`: seconds
 * after which the smoothed value has covered the fraction 1 - 1/e of a rise or fall. With 0 or less
 * the result is the measurement.
 */
export const smoothToward = (
  smoothed: number,
  measured: number,
  elapsedS: number,
  riseTimeConstantS: number,
  fallTimeConstantS: number,
): number => {
  const timeConstantS = measured > smoothed ? riseTimeConstantS : fallTimeConstantS;
  if (timeConstantS <= 0) return measured;
  return measured + (smoothed - measured) * Math.exp(-elapsedS / timeConstantS);
};
