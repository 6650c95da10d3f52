/** Whether a worker's new status gives a round anything to decide. */
import { hasNoStartInFlight } from "../ownership/start-delivery.js";
import type { WorkerSession } from "../ownership/worker-session.js";

const sameTasks = (before: WorkerSession, after: WorkerSession): boolean => {
  if (before.tasks.size !== after.tasks.size) return false;
  for (const [task, status] of before.tasks) {
    const now = after.tasks.get(task);
    if (now?.attempt !== status.attempt || now.phase !== status.phase) return false;
  }
  return true;
};

/**
 * A round would decide the same on both states of a session. Never while a start is in flight: any
 * status may settle it.
 */
export const hasNoNews = (before: WorkerSession, after: WorkerSession): boolean =>
  before.state === after.state &&
  before.token === after.token &&
  before.startDeliveries.size === after.startDeliveries.size &&
  hasNoStartInFlight(before) &&
  before.status !== undefined &&
  before.status.epoch === after.status?.epoch &&
  before.status.preemptionNoticeS === after.status.preemptionNoticeS &&
  sameTasks(before, after);
