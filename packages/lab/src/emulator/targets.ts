/** What callers of the emulated group's streams want, by the users' sheet. */

/** Latest first event that is on time, in ms. */
export const TARGET_FIRST_MS = 401;
/** Longest pause between two events that is on time, in ms. */
export const TARGET_PAUSE_MS = 120;
