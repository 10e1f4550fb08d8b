/** Checks the documented guarantees against what callers and servers observed. */

import type { SoakCall } from './callers.js';
import type { InjectedFault } from './faults.js';
import type { SoakSite } from './soak-site.js';

/** A guarantee that was violated. */
export interface Violation {
  guarantee: string;
  details: string;
}

/** Statuses which state that the request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const EVENTS = [1, 2, 3].map((id) => `id: ${id}\ndata: t\n\n`).join('');
/** Calls sent up to this time after the signal must be answered; later ones if they ran. */
const STOP_WINDOW_MS = 200;
/** A call may end this long after the crash of a server, in ms, on account of the crash. */
const CRASH_MARGIN_MS = 200;

/** Last part of the log of a program that has ended, for the report. */
const MAX_LOG_CHARACTERS = 400;

const describeCall = ({ id, kind, entry, boot, sentAt, endedAt, status, body }: SoakCall): string =>
  `${id} ${kind} at ${entry} (boot ${boot}), ${Math.round(sentAt)} to ${Math.round(endedAt)} ms: ` +
  `${status} ${JSON.stringify(body.slice(0, 80))}`;

const hasExpectedBody = ({ kind, body }: SoakCall): boolean =>
  kind === 'gen' ? body === EVENTS : body === 'done';

const findAnswerViolations = (call: SoakCall, runs: number): Violation[] => {
  const found: Violation[] = [];
  const isSuccess = call.status >= 200 && call.status < 300;
  if (isSuccess && call.isWhole && !(call.hasReceipt && hasExpectedBody(call))) {
    found.push({
      guarantee: 'a complete answer is the upstream’s own',
      details: describeCall(call),
    });
  }
  if (call.kind === 'once' && runs > 1) {
    found.push({
      guarantee: 'runs at most once',
      details: `${describeCall(call)}, ran ${runs} times`,
    });
  }
  if (call.kind === 'once' && NOT_RUN.has(call.status) && runs > 0) {
    found.push({ guarantee: '"not run" is true', details: describeCall(call) });
  }
  if (isSuccess && runs === 0) {
    found.push({ guarantee: 'an answer comes from a run', details: describeCall(call) });
  }
  return found;
};

/** Finds connected calls that were open during a planned stop of their entry and got no complete response, though due. */
const findCallsCutByStop = (
  calls: readonly SoakCall[],
  faults: readonly InjectedFault[],
  runs: ReadonlyMap<string, number>,
  crashes: readonly number[],
): Violation[] => {
  /** Whether its server may have crashed while it worked on the call. */
  const mayHaveCrashed = ({ sentAt, endedAt }: SoakCall): boolean =>
    crashes.some((at) => at > sentAt && at < endedAt + CRASH_MARGIN_MS);
  const isDue = (call: SoakCall, stoppedAt: number): boolean => {
    const isAtOnce = call.holdMs === 0 && call.sentAt < stoppedAt + STOP_WINDOW_MS;
    return isAtOnce || (runs.has(call.id) && !mayHaveCrashed(call));
  };
  return faults
    .filter(({ what }) => what === 'planned-stop')
    .flatMap((stop) =>
      calls
        .filter(
          (call) =>
            !call.isHarmful &&
            call.entry === stop.on &&
            call.boot === stop.boot &&
            call.isConnected &&
            isDue(call, stop.fromMs) &&
            call.endedAt > stop.fromMs &&
            (call.status === 0 || !call.isWhole),
        )
        .map((call) => ({ guarantee: 'a planned stop cuts nothing', details: describeCall(call) })),
    );
};

/** Checks all calls of a finished soak. */
export const findSoakViolations = (
  site: SoakSite,
  calls: readonly SoakCall[],
  faults: readonly InjectedFault[],
): Violation[] => {
  const runs = new Map<string, number>();
  site.servers
    .flatMap(({ executedIds }) => executedIds)
    .forEach((id) => {
      runs.set(id, (runs.get(id) ?? 0) + 1);
    });
  const mixedPasses = site.group.mixedPasses();
  const isSpoiled = ({ id }: SoakCall): boolean =>
    site.servers.some(({ spoiledIds }) => spoiledIds.has(id));
  return [
    ...calls.flatMap((call) => findAnswerViolations(call, runs.get(call.id) ?? 0)),
    ...findCallsCutByStop(
      // An answer without end is broken off by its entry.
      calls.filter((call) => !isSpoiled(call)),
      faults,
      runs,
      site.servers.flatMap(({ crashes }) => crashes),
    ),
    ...site.vms
      .filter(({ child }) => !child.running())
      .map(({ name, child }) => ({
        guarantee: 'no program ends by itself',
        details: `${name}: ${child.log().slice(-MAX_LOG_CHARACTERS)}`,
      })),
    ...(mixedPasses > 0
      ? [{ guarantee: 'one map in every pass', details: `${mixedPasses} passes mixed` }]
      : []),
  ];
};

/** Finds calls that an entry process served with a revoked key after it had refused that key. */
export const findServedRevokedKeys = (
  calls: readonly SoakCall[],
  revokedKey: string,
): Violation[] => {
  const refusedAt = new Map<string, number>();
  return [...calls]
    .sort((a, b) => a.sentAt - b.sentAt)
    .flatMap((call) => {
      if (call.key !== revokedKey) return [];
      const process = `${call.entry}/${call.boot}`;
      const firstRefusedAt = refusedAt.get(process);
      if (call.status === 401 && firstRefusedAt === undefined) refusedAt.set(process, call.endedAt);
      const isServedAgain =
        firstRefusedAt !== undefined && call.sentAt > firstRefusedAt && call.status < 300;
      return isServedAgain && call.status >= 200
        ? [{ guarantee: 'accepted configuration never reverts', details: describeCall(call) }]
        : [];
    });
};
