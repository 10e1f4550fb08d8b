import type { Clock, EventFields, EventLog } from '@plantaindrum/common';

/** Why a coordinator plans no change of its group's map. */
export type Blocker =
  'ranks-silent' | 'group-closed' | 'map-unknown' | 'pass-held' | 'change-under-way';

/** Records the current blocker; undefined when nothing blocks a change. */
export type RecordBlocker = (blocker: Blocker | undefined, fields?: EventFields) => void;

/** A blocker that lasts is logged again after this time, in ms. */
const REPEAT_INTERVAL_MS = 5_000;

/**
 * Creates the recorder. It logs each new blocker once and repeats one that lasts; nothing is
 * recorded while `isStarting` returns true.
 */
export const createBlockerLog = (
  isStarting: () => boolean,
  clock: Clock,
  log: EventLog,
): RecordBlocker => {
  let lastRecorded: { blocker: Blocker | undefined; at: number } = {
    blocker: undefined,
    at: -Infinity,
  };
  return (blocker, fields = {}) => {
    const now = clock.monotonic();
    if (isStarting()) return;
    const isDue = blocker !== lastRecorded.blocker || now - lastRecorded.at > REPEAT_INTERVAL_MS;
    if (isDue && blocker) log.event('group-left', { obstacle: blocker, ...fields });
    if (isDue) lastRecorded = { blocker, at: now };
  };
};
