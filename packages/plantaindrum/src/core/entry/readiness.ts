/** Whether this entry accepts requests, and what its readiness probe reports. */

import type { Clock, Logger, Refusal } from '@plantaindrum/common';
import type { IntentReader } from '@plantaindrum/intent';
import { isStopped } from '@plantaindrum/intent';

/** Lifecycle phases of an entry. */
export type Phase = 'starting' | 'serving' | 'draining';

/** Readiness state of an entry. */
export interface Readiness {
  phase(): Phase;
  started(): void;
  /** The VM is being removed: readiness fails from now on. */
  drain(): void;
  /** Why `GET /ready` fails, if it does. */
  unready(): Refusal | undefined;
  /** Why new requests are refused, if they are. */
  newRequestRefusal(): Refusal | undefined;
}

/** Options of the readiness state. */
export interface ReadinessOptions {
  dataCentre: string;
  intent: Pick<IntentReader, 'current' | 'freshness' | 'onChange'>;
  clock: Clock;
  log: Logger;
  /**
   * Time between failing readiness and refusing requests, in milliseconds. The load balancer in
   * front needs a few probes to notice; requests that it sends until then must still be served.
   */
  noticeMs: number;
}

const notReady = (detail: string): Refusal => ({ reason: 'not-ready', data: { detail } });

/** Creates the readiness state of an entry that is starting. */
export const createReadiness = (options: ReadinessOptions): Readiness => {
  const { dataCentre, intent, clock, log, noticeMs } = options;
  let phase: Phase = 'starting';
  let refuseFromMs = Infinity;
  let stopped = false;

  const startNotice = (): void => {
    refuseFromMs = clock.monotonic() + noticeMs;
  };

  const applyDataCentreState = (): void => {
    const isStoppedNow = isStopped(intent.current().document, dataCentre);
    if (isStoppedNow === stopped) return;
    stopped = isStoppedNow;
    if (stopped) startNotice();
    else if (phase !== 'draining') refuseFromMs = Infinity;
    log.info(`data centre ${dataCentre} ${stopped ? 'is stopping' : 'is serving again'}`);
  };

  const currentRefusal = (): Refusal | undefined => {
    if (phase === 'draining') return notReady('this VM is leaving');
    if (stopped) return { reason: 'data-centre-stopping', data: { dataCentre } };
    if (!intent.freshness().caughtUp) return notReady("the operators' intent is not read yet");
    if (phase === 'starting') return notReady('links to upstreams are not up yet');
    return undefined;
  };

  /**
   * An entry that reaches neither the log nor a peer can't tell whether the intent has changed. It
   * fails the probe so that the load balancer prefers other entries, but serves requests that still
   * arrive: with no agent in reach it can hardly serve one under an outdated intent, and refusing
   * would gain nothing.
   */
  const unready = (): Refusal | undefined => {
    const refusal = currentRefusal();
    if (refusal || intent.freshness().state !== 'isolated') return refusal;
    return notReady("the operators' intent can't be confirmed: no log and no peer in reach");
  };

  applyDataCentreState();
  intent.onChange(applyDataCentreState);

  return {
    phase: () => phase,
    started: () => {
      if (phase === 'starting') phase = 'serving';
    },
    drain: () => {
      phase = 'draining';
      startNotice();
    },
    unready,
    newRequestRefusal: () => {
      const isStopping = phase === 'draining' || stopped;
      if (isStopping && clock.monotonic() < refuseFromMs) return undefined;
      return currentRefusal();
    },
  };
};
