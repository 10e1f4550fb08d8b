/** The VM list: Prometheus HTTP service discovery that shows the past. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '@plantaindrum/common';
import { systemClock } from '@plantaindrum/common';
import type { PlatformFaults } from './gate.js';
import { createGate } from './gate.js';
import { addressOf, listen, readJson, sendJson } from './http.js';
import { createLagged } from './lagged.js';

/** One entry of the list. */
export interface VmTarget {
  targets: string[];
  labels: Record<string, string>;
}

/** Options of the VM list. */
export interface VmListStandInOptions {
  port?: number;
  clock?: Clock;
  /** How far behind the truth readers are. */
  lagMs?: number;
  vms?: VmTarget[];
}

/** The running VM list. */
export interface VmListStandIn {
  /** Full address of the list. */
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

/** Starts a VM list; `PUT` on its address sets the truth, `POST /lag` `{"lagMs":n}` the lag. */
export const createVmListStandIn = async (
  options: VmListStandInOptions = {},
): Promise<VmListStandIn> => {
  const { clock = systemClock, lagMs = 0, port = 0, vms = [] } = options;
  const list = createLagged<VmTarget[]>(clock, vms, lagMs);
  const gate = createGate(clock);
  const server = await listen(async (req, res) => {
    if (await gate.serve(req, res)) return;
    const { pathname } = addressOf(req);
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
    if (await gate.pass(req, res, 'read')) sendList(req, res, list.get());
  }, port);
  return {
    url: `${server.url}/vms`,
    setVms: list.set,
    setLag: list.setLag,
    setFaults: gate.set,
    close: server.close,
  };
};
