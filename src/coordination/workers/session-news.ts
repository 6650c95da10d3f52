/** Whether a worker's new status contains a change that a scheduling round must react to. */
import { hasNoStartInFlight } from "../ownership/start-delivery.js";
import type { WorkerSession } from "../ownership/worker-session.js";

const hasSameTasks = (before: WorkerSession, after: WorkerSession): boolean => {
  if (before.tasks.size !== after.tasks.size) return false;
  for (const [task, status] of before.tasks) {
    const newStatus = after.tasks.get(task);
    if (newStatus?.attempt !== status.attempt || newStatus.phase !== status.phase) return false;
  }
  return true;
};

/**
 * Whether a round would decide the same before and after a status. Always false while a start
 * command may be in flight: any status may show that it no longer is.
 */
export const hasNoRelevantChange = (before: WorkerSession, after: WorkerSession): boolean =>
  before.state === after.state &&
  before.token === after.token &&
  before.startDeliveries.size === after.startDeliveries.size &&
  hasNoStartInFlight(before) &&
  before.status !== undefined &&
  before.status.epoch === after.status?.epoch &&
  before.status.preemptionNoticeS === after.status.preemptionNoticeS &&
  hasSameTasks(before, after);
