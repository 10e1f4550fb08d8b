/** The VM list: Prometheus HTTP service discovery whose changes become visible after a delay. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '@plantaindrum/common';
import { systemClock } from '@plantaindrum/common';
import type { PlatformFaults } from './fault-injector.js';
import { createFaultInjector } from './fault-injector.js';
import { requestUrl, listen, readJson, sendJson } from './http.js';
import { createLagged } from './lagged.js';

/** One target group of the list. */
export interface VmTarget {
  targets: string[];
  labels: Record<string, string>;
}

/** Options of `createVmListStandIn`. */
export interface VmListStandInOptions {
  port?: number;
  clock?: Clock;
  /** Delay until readers see a change. */
  lagMs?: number;
  vms?: VmTarget[];
}

/** A running VM list. */
export interface VmListStandIn {
  /** URL of the list, including its path. */
  readonly url: string;
  setVms(vms: VmTarget[]): void;
  setLag(lagMs: number): void;
  setFaults(change: Partial<PlatformFaults>): void;
  close(): Promise<void>;
}

const etagOf = (text: string): string =>
  `"${createHash('sha256').update(text).digest('base64url').slice(0, 22)}"`;

const sendList = (req: IncomingMessage, res: ServerResponse, vms: VmTarget[]): void => {
  const text = JSON.stringify(vms);
  const etag = etagOf(text);
  if (req.headers['if-none-match'] === etag) {
    res.writeHead(304, { etag }).end();
    return;
  }
  res.writeHead(200, { 'content-type': 'application/json', etag }).end(text);
};

/**
 * Starts a VM list; `PUT` on its URL replaces the VMs, `POST /lag` `{"lagMs":n}` sets the delay.
 */
export const createVmListStandIn = async (
  options: VmListStandInOptions = {},
): Promise<VmListStandIn> => {
  const { clock = systemClock, lagMs = 0, port = 0, vms = [] } = options;
  const list = createLagged<VmTarget[]>(clock, vms, lagMs);
  const faultInjector = createFaultInjector(clock);
  const server = await listen(async (req, res) => {
    if (await faultInjector.serveFaults(req, res)) return;
    const { pathname } = requestUrl(req);
    if (req.method === 'POST' && pathname.endsWith('/lag')) {
      list.setLag((await readJson<{ lagMs: number }>(req)).lagMs);
      sendJson(res, 200, {});
      return;
    }
    if (pathname !== '/vms') {
      sendJson(res, 404, {});
      return;
    }
    if (req.method === 'PUT') {
      list.set(await readJson<VmTarget[]>(req));
      sendJson(res, 200, {});
      return;
    }
    if (await faultInjector.admit(req, res, 'read')) sendList(req, res, list.get());
  }, port);
  return {
    url: `${server.url}/vms`,
    setVms: list.set,
    setLag: list.setLag,
    setFaults: faultInjector.setFaults,
    close: server.close,
  };
};
