/** Callers of the soak, with their requests and results. */

import { Agent, request } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Random } from '@plantaindrum/common';
import { callerHeaders, hasServerStamp, HOLD_HEADER, promptHeaders } from '@plantaindrum/stand-ins';
import { CRASH_PART, SOAK_PORTS } from './soak-site.js';
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
  /** Whether its prompt has the part on which servers crash. */
  isHarmful: boolean;
  /** Time for which the server works on it, in ms. */
  holdMs: number;
}

/** Parts of prompts that calls share. */
const SHARED_PARTS = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6'];
const OWN_PART_DIGITS = 8;

const KINDS: readonly CallKind[] = ['safe', 'once', 'gen'];
/** Time that a caller declares to wait: a little more than its route's. */
const DECLARED_WAIT_MS = 3_010;
const TIMEOUT_MS = 6_000;
const MS_PER_S = 1_000;
/** Fraction of the calls on connections that callers keep open until the entry closes them. */
const KEPT_FRACTION = 0.5;
/** Fraction of the calls that last long, and the time for which the server holds them, in ms. */
const HELD_FRACTION = 0.1;
const HOLD = { minMs: 300, spreadMs: 2_200 };

/** Fraction of the calls whose body comes in chunks of one byte, and the bytes of such a body. */
const SMALL_CHUNKS_FRACTION = 0.05;
const SMALL_CHUNKS_BYTES = 4_000;

/** What the requests of one call have besides its kind and key. */
interface CallOptions {
  parts: readonly string[];
  holdMs: number;
  /** Connections of the caller; a new one without them. */
  agent: Agent | undefined;
  /** Whether the body comes in chunks of one byte. */
  hasSmallChunks: boolean;
}

const sendSmallChunks = (req: ClientRequest): void => {
  req.cork();
  for (let n = 0; n < SMALL_CHUNKS_BYTES; n += 1) req.write('x');
  req.uncork();
  req.end();
};

const sendRequest = (
  vm: Vm,
  kind: CallKind,
  id: string,
  key: string,
  { parts, holdMs, agent, hasSmallChunks }: CallOptions,
): Promise<SoakCall> =>
  new Promise((resolve) => {
    const sentAt = performance.now();
    const call: SoakCall = {
      ...{ id, kind, key, entry: vm.name, boot: vm.boot, sentAt, endedAt: sentAt },
      ...{ status: 0, hasReceipt: false, body: '', isWhole: false, isConnected: false },
      isHarmful: parts.includes(CRASH_PART),
      holdMs,
    };
    const end = (response: Partial<SoakCall>): void =>
      resolve({ ...call, ...response, endedAt: performance.now() });
    const headers = {
      ...callerHeaders(id, key, DECLARED_WAIT_MS),
      ...(parts.length > 0 ? promptHeaders(parts) : {}),
      ...(holdMs > 0 ? { [HOLD_HEADER]: String(holdMs) } : {}),
    };
    const target = {
      host: vm.ip,
      port: SOAK_PORTS.callers,
      path: `/${kind}/${id}`,
      method: 'POST',
    };
    const connection = { agent: agent ?? false, timeout: TIMEOUT_MS };
    const req = request({ ...target, headers, ...connection }, (res) => {
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
      isConnected = !socket.connecting;
      if (socket.connecting) {
        socket.once('connect', () => {
          isConnected = true;
        });
      }
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => end({ isConnected }));
    if (hasSmallChunks) sendSmallChunks(req);
    else req.end('work');
  });

/** Running callers. */
export interface Callers {
  calls: readonly SoakCall[];
  /** Makes one call in addition to the regular ones, on a connection of its own. */
  sendCall(vm: Vm, kind: CallKind, key: string): Promise<SoakCall>;
  /** Changes the number of calls a second. */
  setRate(perSecond: number): void;
  /** Sets the fraction of the calls with a prompt that have the part on which servers crash. */
  setHarmfulFraction(fraction: number): void;
  /** Sets the fraction of the calls that all go to the same entry. */
  setHotFraction(fraction: number): void;
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
  let harmfulFraction = 0;
  let hotFraction = 0;
  const agents = new Map(entries.map(({ name }) => [name, new Agent({ keepAlive: true })]));

  const pick = <T>(from: readonly T[]): T | undefined => from[Math.floor(random() * from.length)];
  /** A prompt of two shared parts and one of its own, or in a few requests of three shared ones. */
  const drawParts = (): string[] => [
    pick(SHARED_PARTS) ?? '',
    ...(random() < harmfulFraction ? [CRASH_PART] : []),
    pick(SHARED_PARTS) ?? '',
    n.toString(16).padStart(OWN_PART_DIGITS, '0'),
  ];

  const sendCall = async (
    vm: Vm,
    kind: CallKind,
    key: string,
    options: Omit<CallOptions, 'parts'> = { holdMs: 0, agent: undefined, hasSmallChunks: false },
  ): Promise<SoakCall> => {
    n += 1;
    const parts = kind === 'gen' ? drawParts() : [];
    const call = await sendRequest(vm, kind, `c${n}`, key, { parts, ...options });
    calls.push(call);
    return call;
  };

  const sendNext = (): void => {
    const vm = random() < hotFraction ? entries[0] : pick(entries);
    const kind = pick(KINDS);
    const key = pick(keys);
    if (!vm || !kind || key === undefined) return;
    const sent = sendCall(vm, kind, key, {
      holdMs: random() < HELD_FRACTION ? HOLD.minMs + random() * HOLD.spreadMs : 0,
      agent: random() < KEPT_FRACTION ? agents.get(vm.name) : undefined,
      hasSmallChunks: random() < SMALL_CHUNKS_FRACTION,
    });
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
    setHarmfulFraction: (fraction) => {
      harmfulFraction = fraction;
    },
    setHotFraction: (fraction) => {
      hotFraction = fraction;
    },
    stop: async () => {
      clearInterval(timer);
      await Promise.all(pending);
      agents.forEach((agent) => agent.destroy());
    },
  };
};
