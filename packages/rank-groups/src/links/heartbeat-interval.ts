/**
 * Heartbeat interval between two agents of a group.
 *
 * Each agent keeps links to the lowest ranks, so that any of these can coordinate, and frequent
 * heartbeats on all links would take more of an agent's time than its other work. A loss has to be
 * detected soon by the coordinator and its group, by agents that may coordinate next, and by agents
 * that relay calls for each other. On a spare link a loss may be detected some seconds later
 * without harm.
 */

/** Inputs of the heartbeat interval between two agents. */
export interface PeerHeartbeatContext {
  own: number;
  /** The peer's rank; undefined while it isn't known. */
  peer: number | undefined;
  /** The lowest rank that is linked to this agent. */
  lowestLinked: number;
  /** Whether one of the two relays calls to the other, or this rank may coordinate next. */
  needsFastDetection: boolean;
  /** Number of ranks of the group, as far as it is known. */
  groupSize: number;
}

/**
 * Interval where a loss has to be detected soon, in ms; a frozen VM is detected in about a second.
 */
export const HEARTBEAT_INTERVAL_MS = 300;
/**
 * Group size up to which the coordinator's links use that interval. Each rank has a link to the
 * coordinator: at 192 ranks, heartbeats and their answers at this rate take a tenth of the link's
 * bytes. In larger groups the interval grows in proportion.
 */
const MAX_RANKS_AT_FULL_RATE = 64;
/** Interval of a spare link, as a multiple of that of the coordinator's links. */
const SPARE_LINK_FACTOR = 3;

/** Returns the time between heartbeats to a peer, in ms. */
export const heartbeatIntervalMs = (view: PeerHeartbeatContext): number => {
  const { own, peer, lowestLinked, needsFastDetection, groupSize } = view;
  if (peer === undefined || needsFastDetection) return HEARTBEAT_INTERVAL_MS;
  const coordinatorLinkMs = HEARTBEAT_INTERVAL_MS * Math.max(1, groupSize / MAX_RANKS_AT_FULL_RATE);
  const involvesCoordinator = peer < own ? peer === lowestLinked : own < lowestLinked;
  return involvesCoordinator ? coordinatorLinkMs : coordinatorLinkMs * SPARE_LINK_FACTOR;
};
