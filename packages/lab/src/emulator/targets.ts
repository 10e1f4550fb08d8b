/** Latency targets of the emulated group's streams, from the users' specification. */

/** Maximum time to the first event of a stream on time. */
export const TARGET_FIRST_MS = 401;
/** Maximum pause between two events of a stream on time. */
export const TARGET_PAUSE_MS = 120;
