/** When this entry takes work, and what it tells the balancer in front of it. */

import type { Clock, Logger, Refusal } from '@plantaindrum/common';
import type { IntentReader } from '@plantaindrum/intent';
import { isStopped } from '@plantaindrum/intent';

/** Phases of an entry's life. */
export type Phase = 'starting' | 'serving' | 'draining';

/** Readiness of one entry. */
export interface Readiness {
  phase(): Phase;
  started(): void;
  /** This VM is going: readiness fails from now on. */
  drain(): void;
  /** Why `GET /ready` fails, if it does. */
  unready(): Refusal | undefined;
  /** Why new requests are refused, if they are. */
  newRequestRefusal(): Refusal | undefined;
}

/** What readiness depends on. */
export interface ReadinessOptions {
  dataCentre: string;
  intent: Pick<IntentReader, 'current' | 'freshness' | 'onChange'>;
  clock: Clock;
  log: Logger;
  /**
   * Time between failing readiness and refusing requests, in milliseconds: the balancer in front
   * needs a few probes to notice, and until then sends requests that must still be served.
   */
  noticeMs: number;
}

const notReady = (detail: string): Refusal => ({ reason: 'not-ready', data: { detail } });

/** Creates the readiness of an entry that is starting. */
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
    log.info(`data centre ${dataCentre} ${stopped ? 'is stopping' : 'serves again'}`);
  };

  const currentRefusal = (): Refusal | undefined => {
    if (phase === 'draining') return notReady('this VM is leaving');
    if (stopped) return { reason: 'data-centre-stopping', data: { dataCentre } };
    if (!intent.freshness().caughtUp) return notReady("the operators' intent is not read yet");
    if (phase === 'starting') return notReady('links to upstreams are not up yet');
    return undefined;
  };

  /**
   * An entry that hears neither the log nor a peer can't tell whether operators have changed the
   * intent. It asks the balancer to prefer others, and serves on whoever still comes: with no agent
   * in reach it can hardly serve a call by old intent, and a refusal would help nobody.
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
