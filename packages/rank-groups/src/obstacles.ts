import type { Clock, EventFields, EventLog } from '@plantaindrum/common';

/** Why a coordinator leaves its group as it is. */
export type Obstacle =
  'ranks-silent' | 'group-closed' | 'map-unknown' | 'pass-held' | 'change-under-way';

/** Says why nothing is done; undefined where nothing stands in the way. */
export type NoteObstacle = (obstacle: Obstacle | undefined, fields?: EventFields) => void;

/** An obstacle that lasts is told of again after this long, in ms. */
const AGAIN_MS = 5_000;

/** Creates the note-taker: each obstacle once, and again from time to time; `isEarly` keeps it silent. */
export const createObstacles = (
  isEarly: () => boolean,
  clock: Clock,
  log: EventLog,
): NoteObstacle => {
  let told: { obstacle: Obstacle | undefined; at: number } = { obstacle: undefined, at: -Infinity };
  return (obstacle, fields = {}) => {
    const now = clock.monotonic();
    if (isEarly()) return;
    const isNews = obstacle !== told.obstacle || now - told.at > AGAIN_MS;
    if (isNews && obstacle) log.event('group-left', { obstacle, ...fields });
    if (isNews) told = { obstacle, at: now };
  };
};
