/**
 * Faults that each platform stand-in can simulate, and the injector that applies them to requests.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import { getHeader, readJson, sendJson } from './http.js';
import type { Signal } from './signal.js';
import { createSignal } from './signal.js';

/** Kind of operation that a request performs on the platform. */
export type Access = 'append' | 'read';

/**
 * Faults, all off by default. Clients are identified by their `x-client` header; `*` matches all.
 */
export interface PlatformFaults {
  /** Kinds of access that get a 503 response. */
  outage: 'none' | 'append' | 'read' | 'all';
  /** Delay before each request is handled. */
  delayMs: number;
  /** Clients whose connections are reset. */
  cutClients: string[];
  /** Clients that get no response; their connections are reset when the fault is lifted. */
  silentClients: string[];
  /**
   * Number of upcoming appends that take effect but whose connection is reset before the response.
   */
  loseAnswers: number;
}

/** Applies the faults of one platform stand-in to its requests. */
export interface FaultInjector {
  readonly faults: Readonly<PlatformFaults>;
  /** Notified whenever the faults change. */
  readonly faultsChanged: Signal;
  setFaults(change: Partial<PlatformFaults>): void;
  /** Applies the faults; returns false if a fault has already answered the request or reset it. */
  admit(req: IncomingMessage, res: ServerResponse, access: Access): Promise<boolean>;
  /** Returns true if the response to this append must be dropped, and decrements `loseAnswers`. */
  consumeLostAnswer(): boolean;
  /** Serves `POST …/faults` (change) and `GET …/faults`; returns false for any other path. */
  serveFaults(req: IncomingMessage, res: ServerResponse): Promise<boolean>;
}

const isListed = (list: string[], req: IncomingMessage): boolean =>
  list.includes('*') || list.includes(getHeader(req, 'x-client') ?? '');

/** Creates an injector with all faults off. */
export const createFaultInjector = (clock: Clock): FaultInjector => {
  const faults: PlatformFaults = {
    outage: 'none',
    delayMs: 0,
    cutClients: [],
    silentClients: [],
    loseAnswers: 0,
  };
  const faultsChanged = createSignal();

  const setFaults = (change: Partial<PlatformFaults>): void => {
    Object.assign(faults, change);
    faultsChanged.notify();
  };

  const awaitSilenceEnd = async (req: IncomingMessage): Promise<boolean> => {
    if (!isListed(faults.silentClients, req)) return false;
    while (isListed(faults.silentClients, req) && !req.socket.destroyed) await faultsChanged.wait();
    return true;
  };

  return {
    faults,
    faultsChanged,
    setFaults,
    admit: async (req, res, access) => {
      if (faults.delayMs > 0) await sleep(clock, faults.delayMs);
      if ((await awaitSilenceEnd(req)) || isListed(faults.cutClients, req)) {
        req.socket.destroy();
        return false;
      }
      if (faults.outage === 'all' || faults.outage === access) {
        sendJson(res, 503, { error_code: 50301, message: 'outage' });
        return false;
      }
      return true;
    },
    consumeLostAnswer: () => {
      if (faults.loseAnswers <= 0) return false;
      faults.loseAnswers -= 1;
      return true;
    },
    serveFaults: async (req, res) => {
      if (!(req.url ?? '').endsWith('/faults')) return false;
      if (req.method === 'POST') setFaults(await readJson<Partial<PlatformFaults>>(req));
      sendJson(res, 200, faults);
      return true;
    },
  };
};
