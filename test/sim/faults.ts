/**
 * What a simulated day brings: its faults, its size, and the safeguard that a test switches off.
 * All are plain data; `fault-injection/` and the parts of the simulation act on them.
 */
import type { LoadSpreadSettings } from "@umberfold/load-spread";

/** Faults that a simulated day may bring, alone or together. */
export interface FaultScenario {
  /** Share of calls whose answer is lost; the call itself may come late, or never. */
  readonly lost: number;
  readonly crashes: boolean;
  readonly outages: boolean;
  readonly deaths: boolean;
  /** Machines whose reports arrive while nothing reaches them, for less and for more than a lease. */
  readonly oneWayMachines?: boolean;
  /** Reports come again, seconds to several leases later, whoever holds or leads by then. */
  readonly lateHeartbeatCopies?: boolean;
  /** One controller loses the state service and the others, but not its workers. */
  readonly controllerCut?: boolean;
  /** One controller is refused by the state service, while the others are served. */
  readonly controllerRefused?: boolean;
  /** One controller can't reach its workers, nor they it. */
  readonly workersUnreachable?: boolean;
  /** Controllers refuse one another's connections. */
  readonly peersRefuse?: boolean;
  /** Processes end just as they take leadership or a share, and are back at once. */
  readonly crashesAfterElections?: boolean;
  /** More than half of the machines vanish within seconds. */
  readonly spotWave?: boolean;
  /** Controllers stand still for longer than all leases while clocks run on, one or two at a time. */
  readonly processPauses?: boolean;
  /** All controllers are cut from the state service, the cloud, users and most workers, and released. */
  readonly allControllersCut?: boolean;
  /** All controllers end at once, twice, once during an outage and once just after. */
  readonly restarts?: boolean;
  /** A third of the machines hang for longer than their lease, and go on. */
  readonly hangs?: boolean;
  /** Requests of a controller that were carried out already come again, seconds to minutes later. */
  readonly repeatedRequests?: boolean;
  readonly storeOutageAfterRefusal?: StoreOutageAfterRefusal;
  /** Transactions get no answer and are carried out 2 to 12 s later, after newer ones. */
  readonly lateWrites?: boolean;
  /** Machines reach no controller, while calls reach them, for less and for more than a lease. */
  readonly mutedMachines?: boolean;
  /** Each task fails once, or those of some jobs fail whenever they are started. */
  readonly failures?: "first" | "always";
  /** Jobs are bound to one zone or spread over zones, as `mill` and `apart` say. */
  readonly zoneBound?: boolean;
  /** Images take up to half a minute to come. */
  readonly slowLinks?: boolean;
  /** The same for good, with tasks that run for longer than a lease. */
  readonly mutedForGood?: boolean;
  /** Many users call off running jobs at once, and some of their machines hang. */
  readonly cancelAtOnce?: boolean;
  /** Jobs are called off, asked about and submitted again at the moment of their last task's end. */
  readonly cancelAtEnd?: boolean;
  /** Users repeat submissions, cancel what is done, and submit what can't run or lacks a field. */
  readonly oddRequests?: boolean;
  /** The leader ends ten times in two minutes and is back within a second, in an outage too. */
  readonly leaderCrashes?: boolean;
  /** All controllers are away for longer than a lease. */
  readonly allControllersAway?: boolean;
  /** A zone's workers and one controller are cut off from the rest for longer than a lease. */
  readonly zoneCut?: boolean;
  /** For a minute users ask this many times as often, and the state service counts requests. */
  readonly questionFlood?: number;
  /** A team without a guarantee sends one-task jobs in masses and one huge array. */
  readonly floodTeam?: boolean;
  /** Load spreading is on, with these settings beside the defaults. */
  readonly loadSpread?: Partial<LoadSpreadSettings>;
  /** That share of the writes of spans gets no answer: carried out at once or not, and again late. */
  readonly lateSpanWrites?: number;
  /** Machines come up minutes late, or never. */
  readonly lateBoots?: boolean;
}

/**
 * The state service refuses the leading controller alone; users are told by the others that their
 * jobs are cancelled; then it is out for all, for longer than `cancel_s`.
 */
export interface StoreOutageAfterRefusal {
  /** The refused one is cut from the other controllers as well. */
  readonly peersCut?: boolean;
  /** The others end just after they told users, and are back seconds later, in the outage. */
  readonly confirmersCrash?: boolean;
  /** The refused one ends inside the outage, and is back within a second. */
  readonly oldLeaderCrashes?: boolean;
  /** What happens to some machines with tasks of cancelled jobs, for longer than `cancel_s`. */
  readonly machineFault?: "hang" | "deaf" | "mute";
  /** The cloud is out for the first part of the outage. */
  readonly cloudOutage?: boolean;
  /** What gives the user the confirmation; the cancel itself is then not answered. */
  readonly confirmedBy?: "cancel" | "question" | "repeat";
}

export interface SimulationScale {
  readonly controllers: number;
  readonly machines: number;
  readonly quotaCpus: number;
  readonly maxTasks: number;
}

/** A safeguard that a test switches off, to show that the checks notice. */
export type DisabledSafeguard =
  /** The state store applies transactions whatever their conditions. */
  | "conditions"
  /** Workers execute commands whatever their fencing token and epoch. */
  | "fencing_tokens"
  /** The cloud says that machines are gone, and leaves them running. */
  | "cloud_returns"
  /** Final records are never found. */
  | "final_records"
  /** No controller runs. */
  | "no_service"
  /** Cancellations are confirmed and not carried out. */
  | "cancellations"
  /** Cancellation notices are acknowledged and not heeded. */
  | "cancellation_notices"
  /** Forced returns are refused: machines are returned by the leader alone. */
  | "forced_returns"
  /** Comparisons are refused, so that each question would need a read of its own. */
  | "comparisons"
  /** Machines that never come up are not returned. */
  | "late_returns";
