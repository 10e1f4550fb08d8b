/** Faults that every part of the platform can have, and the gate that applies them. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import { headerOf, readJson, sendJson } from './http.js';
import type { Signal } from './signal.js';
import { createSignal } from './signal.js';

/** What a request does to the platform. */
export type Access = 'append' | 'read';

/** Faults, all off by default. A client is named by its `x-client` header; `*` is every client. */
export interface PlatformFaults {
  /** Which accesses answer 503. */
  outage: 'none' | 'append' | 'read' | 'all';
  /** Every answer is this late. */
  delayMs: number;
  /** Clients whose connections are reset. */
  cutClients: string[];
  /** Clients that get no answer at all; reset once the fault is lifted. */
  silentClients: string[];
  /** The next so many appends take effect, then lose their answer. */
  loseAnswers: number;
}

/** Faults of one part of the platform and the way through them. */
export interface Gate {
  readonly faults: Readonly<PlatformFaults>;
  /** Notified at each change of the faults. */
  readonly changed: Signal;
  set(change: Partial<PlatformFaults>): void;
  /** False when a fault has already answered or cut the request. */
  pass(req: IncomingMessage, res: ServerResponse, access: Access): Promise<boolean>;
  /** True when this append's answer shall be lost; uses one up. */
  losesAnswer(): boolean;
  /** Serves `POST …/faults` (change) and `GET …/faults`; false for any other address. */
  serve(req: IncomingMessage, res: ServerResponse): Promise<boolean>;
}

const names = (list: string[], req: IncomingMessage): boolean =>
  list.includes('*') || list.includes(headerOf(req, 'x-client') ?? '');

/** Creates a gate with every fault off. */
export const createGate = (clock: Clock): Gate => {
  const faults: PlatformFaults = {
    outage: 'none',
    delayMs: 0,
    cutClients: [],
    silentClients: [],
    loseAnswers: 0,
  };
  const changed = createSignal();

  const set = (change: Partial<PlatformFaults>): void => {
    Object.assign(faults, change);
    changed.notify();
  };

  const silenced = async (req: IncomingMessage): Promise<boolean> => {
    if (!names(faults.silentClients, req)) return false;
    while (names(faults.silentClients, req) && !req.socket.destroyed) await changed.wait();
    return true;
  };

  return {
    faults,
    changed,
    set,
    pass: async (req, res, access) => {
      if (faults.delayMs > 0) await sleep(clock, faults.delayMs);
      if ((await silenced(req)) || names(faults.cutClients, req)) {
        req.socket.destroy();
        return false;
      }
      if (faults.outage === 'all' || faults.outage === access) {
        sendJson(res, 503, { error_code: 50301, message: 'outage' });
        return false;
      }
      return true;
    },
    losesAnswer: () => {
      if (faults.loseAnswers <= 0) return false;
      faults.loseAnswers -= 1;
      return true;
    },
    serve: async (req, res) => {
      if (!(req.url ?? '').endsWith('/faults')) return false;
      if (req.method === 'POST') set(await readJson<Partial<PlatformFaults>>(req));
      sendJson(res, 200, faults);
      return true;
    },
  };
};
