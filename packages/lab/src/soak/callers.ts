/** Callers of the soak, with their requests and results. */

import { request } from 'node:http';
import type { Random } from '@plantaindrum/common';
import { callerHeaders, hasServerStamp } from '@plantaindrum/stand-ins';
import { SOAK_PORTS } from './soak-site.js';
import type { Vm, SoakSite } from './soak-site.js';

/** Kind of a request, named as the route that serves it. */
export type CallKind = 'safe' | 'once' | 'gen';

/** A call and its result. */
export interface SoakCall {
  id: string;
  kind: CallKind;
  key: string;
  entry: string;
  /** Which start of the entry's program received the call, from 1. */
  boot: number;
  sentAt: number;
  endedAt: number;
  /** HTTP status; 0 without a response. */
  status: number;
  hasReceipt: boolean;
  body: string;
  /** Whether the response was complete. */
  isWhole: boolean;
  /** Whether the connection was established. */
  isConnected: boolean;
}

const KINDS: readonly CallKind[] = ['safe', 'once', 'gen'];
/** Time that a caller declares to wait: a little more than its route's. */
const DECLARED_WAIT_MS = 3_010;
const TIMEOUT_MS = 6_000;
const MS_PER_S = 1_000;

const sendRequest = (vm: Vm, kind: CallKind, id: string, key: string): Promise<SoakCall> =>
  new Promise((resolve) => {
    const sentAt = performance.now();
    const call: SoakCall = {
      ...{ id, kind, key, entry: vm.name, boot: vm.boot, sentAt, endedAt: sentAt },
      ...{ status: 0, hasReceipt: false, body: '', isWhole: false, isConnected: false },
    };
    const end = (response: Partial<SoakCall>): void =>
      resolve({ ...call, ...response, endedAt: performance.now() });
    const headers = callerHeaders(id, key, DECLARED_WAIT_MS);
    const target = {
      host: vm.ip,
      port: SOAK_PORTS.callers,
      path: `/${kind}/${id}`,
      method: 'POST',
    };
    const req = request({ ...target, headers, agent: false, timeout: TIMEOUT_MS }, (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', () => {});
      res.on('close', () =>
        end({
          status: res.statusCode ?? 0,
          hasReceipt: hasServerStamp(res.headers),
          body: Buffer.concat(chunks).toString(),
          isWhole: res.complete,
          isConnected: true,
        }),
      );
    });
    let isConnected = false;
    req.on('socket', (socket) => {
      socket.on('connect', () => {
        isConnected = true;
      });
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => end({ isConnected }));
    req.end('work');
  });

/** Running callers. */
export interface Callers {
  calls: readonly SoakCall[];
  /** Makes one call in addition to the regular ones. */
  sendCall(vm: Vm, kind: CallKind, key: string): Promise<SoakCall>;
  /** Changes the number of calls a second. */
  setRate(perSecond: number): void;
  /** Stops sending and waits for the pending calls. */
  stop(): Promise<void>;
}

/** Starts callers that make `perSecond` calls to random entries, each with a random one of the keys. */
export const startCallers = (
  site: SoakSite,
  random: Random,
  perSecond: number,
  keys: readonly string[],
): Callers => {
  const entries = site.vms.filter(({ role }) => role === 'entry');
  const calls: SoakCall[] = [];
  const pending = new Set<Promise<unknown>>();
  let n = 0;

  const sendCall = async (vm: Vm, kind: CallKind, key: string): Promise<SoakCall> => {
    n += 1;
    const call = await sendRequest(vm, kind, `c${n}`, key);
    calls.push(call);
    return call;
  };
  const pick = <T>(from: readonly T[]): T | undefined => from[Math.floor(random() * from.length)];

  const sendNext = (): void => {
    const vm = pick(entries);
    const kind = pick(KINDS);
    const key = pick(keys);
    if (!vm || !kind || key === undefined) return;
    const sent = sendCall(vm, kind, key);
    pending.add(sent);
    void sent.then(() => pending.delete(sent));
  };
  let timer = setInterval(sendNext, MS_PER_S / perSecond);

  return {
    calls,
    sendCall,
    setRate: (next) => {
      clearInterval(timer);
      timer = setInterval(sendNext, MS_PER_S / next);
    },
    stop: async () => {
      clearInterval(timer);
      await Promise.all(pending);
    },
  };
};
