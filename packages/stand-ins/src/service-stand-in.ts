/** An HTTP service that counts how often each call actually ran. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '@plantaindrum/common';
import { sleep, systemClock } from '@plantaindrum/common';
import { requestUrl, getHeader, listen, readBody, readJson, sendJson } from './http.js';
import { createSignal } from './signal.js';

/** Faults that the service can simulate, all off by default. */
export interface ServiceFaults {
  /** Number of upcoming calls whose connection is reset before they run. */
  resetBefore: number;
  /** Number of upcoming calls that run but whose connection is reset before the response. */
  resetAfter: number;
  /** Number of upcoming calls that run but whose connection is reset after half of the body. */
  breakOff: number;
  /** While true, calls wait before they run. */
  hold: boolean;
  /** Every call gets a 503 response without running. */
  outage: boolean;
}

/** Options of `createServiceStandIn`. */
export interface ServiceStandInOptions {
  port?: number;
  controlPort?: number;
  clock?: Clock;
  serviceTimeMs?: number;
}

/** Number of calls that ran, and of calls in flight. */
export interface ServiceCounts {
  total: number;
  /** Calls received and not yet completed. */
  inFlight: number;
  byKey: Record<string, number>;
  byPath: Record<string, number>;
}

/** A running service. */
export interface ServiceStandIn {
  readonly url: string;
  readonly control: string;
  setFaults(change: Partial<ServiceFaults>): void;
  setServiceTime(ms: number): void;
  counts(): ServiceCounts;
  /** Resolves when `predicate` returns true; checked whenever the counts or faults change. */
  waitFor(predicate: (counts: ServiceCounts) => boolean): Promise<void>;
  close(): Promise<void>;
}

const increment = (counts: Record<string, number>, key: string): void => {
  // eslint-disable-next-line no-param-reassign
  counts[key] = (counts[key] ?? 0) + 1;
};

/** Starts a service; its control server has `GET /counts`, `POST /faults` and `POST /time`. */
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

  const consumeFault = (fault: 'resetBefore' | 'resetAfter' | 'breakOff'): boolean => {
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

  const handleCall = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const body = await readBody(req);
    if (faults.outage) {
      sendJson(res, 503, { error: 'outage' });
      return;
    }
    while (faults.hold) await progressed.wait();
    if (consumeFault('resetBefore')) {
      req.socket.destroy();
      return;
    }
    const key = getHeader(req, 'idempotency-key');
    const { pathname } = requestUrl(req);
    if (serviceTimeMs > 0) await sleep(clock, serviceTimeMs);
    count(key, pathname);
    if (consumeFault('resetAfter')) {
      req.socket.destroy();
      return;
    }
    const response = JSON.stringify({
      method: req.method,
      path: pathname,
      key: key ?? null,
      bodyHash: createHash('sha256').update(body).digest('hex'),
    });
    res.writeHead(200, {
      'content-type': 'application/json',
      'content-length': String(response.length),
    });
    if (consumeFault('breakOff')) {
      res.write(response.slice(0, response.length / 2), () => req.socket.destroy());
      return;
    }
    res.end(response);
  };

  const serveCall = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    counts.inFlight += 1;
    progressed.notify();
    try {
      await handleCall(req, res);
    } finally {
      counts.inFlight -= 1;
      progressed.notify();
    }
  };

  const serveControl = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
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

  const server = await listen(serveCall, options.port ?? 0);
  const controlServer = await listen(serveControl, options.controlPort ?? 0);
  return {
    url: server.url,
    control: controlServer.url,
    setFaults,
    setServiceTime: (ms) => {
      serviceTimeMs = ms;
    },
    counts: () => structuredClone(counts),
    waitFor: async (predicate) => {
      while (!predicate(counts)) await progressed.wait();
    },
    close: async () => {
      setFaults({ hold: false });
      await Promise.all([server.close(), controlServer.close()]);
    },
  };
};
