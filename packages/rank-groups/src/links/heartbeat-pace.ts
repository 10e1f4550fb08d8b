/**
 * How often two agents of a group show each other that they live. The pattern: each agent keeps links to the lowest
 * ranks, so that any of them may coordinate, and beats on all of them take more of its time than its own work. Who
 * has to notice a loss soon are the coordinator and its group, those that may coordinate next, and those that pass
 * calls on to one another; a spare link that is found dead some seconds later has harmed nobody.
 */

/** What the pace between two agents depends on. */
export interface HeartbeatView {
  own: number;
  /** The peer's rank; undefined while it isn't known. */
  peer: number | undefined;
  /** The lowest rank that is linked here. */
  lowestLinked: number;
  /** The peer passes calls on to this rank or takes them from it, or this rank may coordinate next. */
  isWatched: boolean;
  /** Ranks of the group, as far as is known. */
  groupSize: number;
}

/** Heartbeats where a loss has to be noticed soon, in ms: one of a VM that froze is in about a second. */
export const HEARTBEAT_MS = 300;
/**
 * Ranks up to which the coordinator's links have that heartbeat. Each rank has a link to it: at 192, beats and their
 * answers at this pace are a tenth of its link's bytes. Beyond, beats are as much rarer.
 */
const RANKS_AT_FULL_PACE = 64;
/** Heartbeats of a spare link, in those of the coordinator's. */
const SPARE_LINK = 3;

/** Time between heartbeats to a peer, in ms. */
export const heartbeatMsWith = (view: HeartbeatView): number => {
  const { own, peer, lowestLinked, isWatched, groupSize } = view;
  if (peer === undefined || isWatched) return HEARTBEAT_MS;
  const ofMany = HEARTBEAT_MS * Math.max(1, groupSize / RANKS_AT_FULL_PACE);
  const isWithCoordinator = peer < own ? peer === lowestLinked : own < lowestLinked;
  return isWithCoordinator ? ofMany : ofMany * SPARE_LINK;
};
