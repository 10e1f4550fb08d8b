/** The promises of the pages, checked against what callers and servers saw. */

import type { SoakCall } from './callers.js';
import type { PlayedFault } from './faults.js';
import type { World } from './world.js';

/** A promise that was broken. */
export interface Violation {
  promise: string;
  what: string;
}

/** Statuses that say that the request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const EVENTS = [1, 2, 3].map((id) => `id: ${id}\ndata: t\n\n`).join('');
/** A planned stop counts for calls that came this long after the signal, in ms. */
const STOP_WINDOW_MS = 200;

const told = ({ id, kind, entry, boot, sentAt, endedAt, status, body }: SoakCall): string =>
  `${id} ${kind} at ${entry} (boot ${boot}), ${Math.round(sentAt)} to ${Math.round(endedAt)} ms: ` +
  `${status} ${JSON.stringify(body.slice(0, 80))}`;

const isOwnAnswer = ({ kind, body }: SoakCall): boolean =>
  kind === 'gen' ? body === EVENTS : body === 'done';

const answerViolations = (call: SoakCall, runs: number): Violation[] => {
  const found: Violation[] = [];
  const isSuccess = call.status >= 200 && call.status < 300;
  if (isSuccess && call.isWhole && !(call.hasReceipt && isOwnAnswer(call))) {
    found.push({ promise: 'a whole answer is the upstream’s own', what: told(call) });
  }
  if (call.kind === 'once' && runs > 1) {
    found.push({ promise: 'runs at most once', what: `${told(call)}, ran ${runs} times` });
  }
  if (call.kind === 'once' && NOT_RUN.has(call.status) && runs > 0) {
    found.push({ promise: '"not run" is true', what: told(call) });
  }
  if (isSuccess && runs === 0) {
    found.push({ promise: 'an answer comes from a run', what: told(call) });
  }
  return found;
};

/** Calls that a planned stop cut, where nothing else harmed their entry. */
const cutByStop = (calls: readonly SoakCall[], faults: readonly PlayedFault[]): Violation[] =>
  faults
    .filter(({ what }) => what === 'planned-stop')
    .flatMap((stop) =>
      calls
        .filter(
          (call) =>
            call.entry === stop.on &&
            call.boot === stop.boot &&
            call.isConnected &&
            call.sentAt < stop.fromMs + STOP_WINDOW_MS &&
            call.endedAt > stop.fromMs &&
            (call.status === 0 || !call.isWhole),
        )
        .map((call) => ({ promise: 'a planned stop cuts nothing', what: told(call) })),
    );

/** Checks all calls of a soak that has ended. */
export const findSoakViolations = (
  world: World,
  calls: readonly SoakCall[],
  faults: readonly PlayedFault[],
): Violation[] => {
  const runs = new Map<string, number>();
  world.servers
    .flatMap(({ ran }) => ran)
    .forEach((id) => {
      runs.set(id, (runs.get(id) ?? 0) + 1);
    });
  const mixed = world.group.mixed();
  return [
    ...calls.flatMap((call) => answerViolations(call, runs.get(call.id) ?? 0)),
    ...cutByStop(calls, faults),
    ...(mixed > 0 ? [{ promise: 'one map in every pass', what: `${mixed} passes mixed` }] : []),
  ];
};

/** Answers to a key that was taken away: once an entry's process has refused it, it does for good. */
export const findReturnedKeys = (calls: readonly SoakCall[], gone: string): Violation[] => {
  const refusedAt = new Map<string, number>();
  return [...calls]
    .sort((a, b) => a.sentAt - b.sentAt)
    .flatMap((call) => {
      if (call.key !== gone) return [];
      const process = `${call.entry}/${call.boot}`;
      const since = refusedAt.get(process);
      if (call.status === 401 && since === undefined) refusedAt.set(process, call.endedAt);
      const isBack = since !== undefined && call.sentAt > since && call.status < 300;
      return isBack && call.status >= 200
        ? [{ promise: 'accepted configuration never reverts', what: told(call) }]
        : [];
    });
};
