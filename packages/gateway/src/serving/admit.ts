/** Decides whether a request is sent: at once for most services, after a wait by priority for some streams. */

import type { AdmissionTicket, AdmissionVerdict, SharedAdmission } from '@plantaindrum/admission';
import type { Upstream } from '../upstreams/upstream.js';
import { urgencyOf } from './attempt.js';
import { onCallerDisconnected } from './caller-disconnected.js';
import { notRun } from './refuse.js';
import type { Refusal, RefusalContext } from './refuse.js';
import type { CallerRequest, ServingDeps } from './types.js';

/** Outcome of the admission of a request. */
export type AdmitOutcome =
  | { outcome: 'send'; ticket: AdmissionTicket | undefined }
  | { outcome: 'refused'; refusal: Refusal; inputs: RefusalContext['inputs'] }
  | { outcome: 'caller-gone' };

/** Organisation of requests without an API key. */
const ANONYMOUS = '';

/** Quantile of the pauses that is logged with a refusal. */
const LOGGED_PAUSE_QUANTILE = 0.75;

const refused = (
  { service, isReturn }: CallerRequest,
  refusal: Refusal,
  { admission }: ServingDeps,
): AdmitOutcome => {
  const limit = admission.limit(service);
  const pause = admission.eventTimings(service).pauseQuantile(LOGGED_PAUSE_QUANTILE);
  return { outcome: 'refused', refusal, inputs: { limit, pause, isReturn } };
};

const decideAtOnce = (
  request: CallerRequest,
  upstreams: readonly Upstream[],
  deps: ServingDeps,
): AdmitOutcome => {
  const { admission, directory, random } = deps;
  const { route, service, isReturn, routeTable } = request;
  const targetPauseMs = route.kind === 'stream' ? (route.targetPauseMs ?? Infinity) : undefined;
  const declaredService = routeTable.service(service);
  const maxConnections = declaredService?.maxConnections ?? Infinity;
  const passTimes = declaredService?.engine?.passTimes;
  const admissionRequest = { service, targetPauseMs, passTimes, maxConnections, isReturn };
  const decision = admission.decide(admissionRequest, upstreams, directory.available(service));
  if (decision.admitted) return { outcome: 'send', ticket: undefined };
  return refused(request, notRun(decision.reason, random), deps);
};

const toOutcome = (
  request: CallerRequest,
  verdict: AdmissionVerdict,
  ticket: AdmissionTicket,
  deps: ServingDeps,
): AdmitOutcome => {
  const { metrics } = deps;
  const { route, service, organisation, fields, body, isReturn } = request;
  if (verdict.outcome === 'send') {
    const { waitedMs, isReturning } = verdict;
    metrics.count('gateway_admitted', { priority: String(urgencyOf(request)) });
    metrics.record('gateway_admission_wait_ms', waitedMs, { isReturning: String(isReturning) });
    if (fields.promptTokens !== undefined) {
      deps.streamAdmission.recordPrompt(service, fields.promptTokens);
    }
    return { outcome: 'send', ticket };
  }
  const { reason, retryAfterMs, inputs } = verdict;
  return {
    outcome: 'refused',
    refusal: { reason, status: 503, retryAfterMs },
    inputs: {
      ...inputs,
      class: route.name,
      organisation: organisation?.name,
      size: fields.promptTokens ?? body.length,
      isReturn,
    },
  };
};

/** Waits for room; the outcome when the caller disconnects meanwhile is `caller-gone`. */
const waitForRoom = (
  request: CallerRequest,
  admission: SharedAdmission,
  deps: ServingDeps,
): Promise<AdmitOutcome> =>
  new Promise((resolve) => {
    const { route, organisation, fields, res, id, arrivedAt, deadlineAt } = request;
    const { lifecycle, random } = deps;
    let verdict: AdmissionVerdict | undefined;
    let ticket: AdmissionTicket | undefined;
    let stopListening = (): void => {};
    const settle = (settled: AdmissionVerdict): void => {
      verdict = settled;
      stopListening();
      if (ticket) resolve(toOutcome(request, settled, ticket, deps));
    };
    ticket = admission.offer(
      {
        ...{ id, arrivedAt, deadlineAt },
        organisation: organisation?.name ?? ANONYMOUS,
        priority: urgencyOf(request),
        targetMs: route.targetMs,
        hasBegun: fields.lastEventId !== undefined,
        elapsedMs: request.sinceFirstAttemptMs,
      },
      settle,
    );
    if (verdict) {
      resolve(toOutcome(request, verdict, ticket, deps));
      return;
    }
    const { cancel } = ticket;
    const withdraw = (outcome: AdmitOutcome): void => {
      stopListening();
      cancel();
      resolve(outcome);
    };
    onCallerDisconnected(res, () => withdraw({ outcome: 'caller-gone' }));
    stopListening = lifecycle.onChange(() => {
      if (lifecycle.canServe(request)) return;
      withdraw(refused(request, notRun('stopping', random), deps));
    });
  });

/** Decides on a request; a service without upstreams that may be used is refused at once. */
export const admit = async (request: CallerRequest, deps: ServingDeps): Promise<AdmitOutcome> => {
  const { directory, random, streamAdmission } = deps;
  const { service, route } = request;
  const upstreams = directory.preferred(service);
  if (upstreams.length === 0) {
    return refused(request, notRun(directory.unavailableReason(service), random), deps);
  }
  const shared = route.kind === 'stream' ? streamAdmission.of(service) : undefined;
  if (directory.available(service, urgencyOf(request)).length === 0) {
    const reason = directory.unavailableReason(service);
    // Streams that wait for room are sent once connections are free again.
    if (!shared || reason !== 'upstreams-full') {
      return refused(request, notRun(reason, random, directory.waitMs(service)), deps);
    }
  }
  return shared ? waitForRoom(request, shared, deps) : decideAtOnce(request, upstreams, deps);
};
