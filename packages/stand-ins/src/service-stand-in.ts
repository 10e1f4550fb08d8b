/** A plain service that counts how often each call really ran. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '@plantaindrum/common';
import { sleep, systemClock } from '@plantaindrum/common';
import { addressOf, headerOf, listen, readBody, readJson, sendJson } from './http.js';
import { createSignal } from './signal.js';

/** Faults of the service, all off by default. */
export interface ServiceFaults {
  /** The next so many calls are reset before they run. */
  resetBefore: number;
  /** The next so many calls run, then are reset without an answer. */
  resetAfter: number;
  /** The next so many calls run, then answer only half of the body. */
  breakOff: number;
  /** Calls wait, before they run, until this is false again. */
  hold: boolean;
  /** Every call answers 503 without running. */
  outage: boolean;
}

/** Options of the service. */
export interface ServiceStandInOptions {
  port?: number;
  controlPort?: number;
  clock?: Clock;
  serviceTimeMs?: number;
}

/** How often calls ran. */
export interface ServiceCounts {
  total: number;
  /** Calls that are inside the service now. */
  inFlight: number;
  byKey: Record<string, number>;
  byPath: Record<string, number>;
}

/** The running service. */
export interface ServiceStandIn {
  readonly url: string;
  readonly control: string;
  setFaults(change: Partial<ServiceFaults>): void;
  setServiceTime(ms: number): void;
  counts(): ServiceCounts;
  /** Resolves when `holds` is true of the counts; checked at each arrival and effect. */
  waitFor(holds: (counts: ServiceCounts) => boolean): Promise<void>;
  close(): Promise<void>;
}

const increment = (counts: Record<string, number>, key: string): void => {
  // eslint-disable-next-line no-param-reassign
  counts[key] = (counts[key] ?? 0) + 1;
};

/** Starts a service; its control address serves `GET /counts`, `POST /faults`, `POST /time`. */
export const createServiceStandIn = async (
  options: ServiceStandInOptions = {},
): Promise<ServiceStandIn> => {
  const { clock = systemClock } = options;
  let serviceTimeMs = options.serviceTimeMs ?? 0;
  const counts: ServiceCounts = { total: 0, inFlight: 0, byKey: {}, byPath: {} };
  const progressed = createSignal();
  const faults: ServiceFaults = {
    resetBefore: 0,
    resetAfter: 0,
    breakOff: 0,
    hold: false,
    outage: false,
  };

  const setFaults = (change: Partial<ServiceFaults>): void => {
    Object.assign(faults, change);
    progressed.notify();
  };

  const uses = (fault: 'resetBefore' | 'resetAfter' | 'breakOff'): boolean => {
    if (faults[fault] <= 0) return false;
    faults[fault] -= 1;
    return true;
  };

  const count = (key: string | undefined, path: string): void => {
    counts.total += 1;
    if (key !== undefined) increment(counts.byKey, key);
    increment(counts.byPath, path);
    progressed.notify();
  };

  const run = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const body = await readBody(req);
    if (faults.outage) {
      sendJson(res, 503, { error: 'outage' });
      return;
    }
    while (faults.hold) await progressed.wait();
    if (uses('resetBefore')) {
      req.socket.destroy();
      return;
    }
    const key = headerOf(req, 'idempotency-key');
    const { pathname } = addressOf(req);
    if (serviceTimeMs > 0) await sleep(clock, serviceTimeMs);
    count(key, pathname);
    if (uses('resetAfter')) {
      req.socket.destroy();
      return;
    }
    const answer = JSON.stringify({
      method: req.method,
      path: pathname,
      key: key ?? null,
      bodyHash: createHash('sha256').update(body).digest('hex'),
    });
    res.writeHead(200, {
      'content-type': 'application/json',
      'content-length': String(answer.length),
    });
    if (uses('breakOff')) {
      res.write(answer.slice(0, answer.length / 2), () => req.socket.destroy());
      return;
    }
    res.end(answer);
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    counts.inFlight += 1;
    progressed.notify();
    try {
      await run(req, res);
    } finally {
      counts.inFlight -= 1;
      progressed.notify();
    }
  };

  const control = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    if (req.method === 'POST' && req.url === '/faults') {
      setFaults(await readJson<Partial<ServiceFaults>>(req));
      sendJson(res, 200, faults);
      return;
    }
    if (req.method === 'POST' && req.url === '/time') {
      serviceTimeMs = (await readJson<{ serviceTimeMs: number }>(req)).serviceTimeMs;
      sendJson(res, 200, {});
      return;
    }
    sendJson(res, req.url === '/counts' ? 200 : 404, counts);
  };

  const server = await listen(serve, options.port ?? 0);
  const controlServer = await listen(control, options.controlPort ?? 0);
  return {
    url: server.url,
    control: controlServer.url,
    setFaults,
    setServiceTime: (ms) => {
      serviceTimeMs = ms;
    },
    counts: () => structuredClone(counts),
    waitFor: async (holds) => {
      while (!holds(counts)) await progressed.wait();
    },
    close: async () => {
      setFaults({ hold: false });
      await Promise.all([server.close(), controlServer.close()]);
    },
  };
};
