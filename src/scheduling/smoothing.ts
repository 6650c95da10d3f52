/** Exponential smoothing with separate time constants for rise and fall. Owns no state. */

/**
 * Moves a smoothed value towards what was measured now.
 *
 * `elapsedS`: seconds since the last measurement. `riseS`, `fallS`: time constants, in seconds,
 * after which a rise or fall is followed by 1 - 1/e; 0 or less follows at once.
 */
export const smoothToward = (
  smoothed: number,
  measured: number,
  elapsedS: number,
  riseS: number,
  fallS: number,
): number => {
  const timeConstantS = measured > smoothed ? riseS : fallS;
  if (timeConstantS <= 0) return measured;
  return measured + (smoothed - measured) * Math.exp(-elapsedS / timeConstantS);
};
