/** The request handling of one entry on loopback, with fake upstreams. */

import { request, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  createMetrics,
  createSeededRandom,
  ok,
  silentEventLog,
  systemClock,
} from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';
import { createExitCheck } from '@plantaindrum/exchange';
import { createAdmission } from '../../src/admission/admission.js';
import { createServiceOutages } from '../../src/admission/service-outages.js';
import { createStreamAdmission } from '../../src/admission/stream-admission.js';
import { createAnswerSurvival } from '../../src/attempts/survival.js';
import { createEvacuations, excludeEvacuated } from '../../src/evacuation/evacuations.js';
import type { Intent, Route, UpstreamRecord } from '../../src/index.js';
import { createRankGroups } from '../../src/groups/index.js';
import type { GroupUpdate } from '../../src/groups/group-report.js';
import { createRouteTable } from '../../src/intent/route-table.js';
import { createLifecycle } from '../../src/lifecycle/lifecycle.js';
import type { Lifecycle } from '../../src/lifecycle/lifecycle.js';
import { createQuarantine } from '../../src/quarantine/index.js';
import type { QuarantineUpdate } from '../../src/quarantine/quarantine-update.js';
import { createRetryBudget } from '../../src/retry/budget.js';
import { createRequestHandler } from '../../src/serving/serve-request.js';
import type { RateLimitUpdate } from '../../src/mesh/rate-limit-update.js';
import { createDirectory } from '../../src/upstreams/directory.js';
import { createRateLimits } from '../../src/upstreams/rate-limits.js';
import type { WarmupBounds } from '../../src/upstreams/warmup-limit.js';
import type { FakeUpstream } from './fake-upstream.js';
import { testDialect } from './test-dialect.js';

/** The response that a caller received. */
export interface CallerResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** Whether the response ended cleanly. */
  isComplete: boolean;
  ms: number;
}

/** Options of `startEntry`. */
export interface EntryOptions {
  upstreams: readonly FakeUpstream[];
  route?: Partial<Route>;
  intent?: Partial<Intent>;
  /** Milliseconds since the intent was confirmed. */
  intentAgeMs?: number;
  retryAllowance?: number;
  /** No intent has been read yet. */
  withoutIntent?: boolean;
  /** The entry has just started. */
  isStarting?: boolean;
  /** Phase of the entry; it serves by default. */
  lifecycle?: Lifecycle;
  /** Called with what the entry broadcasts about requests that crash upstreams. */
  onCrashUpdate?: (update: QuarantineUpdate) => void;
  /** Called with what the entry broadcasts about rate limits of upstreams. */
  onRateUpdate?: (update: RateLimitUpdate) => void;
  /** Called with what the entry broadcasts about rank groups. */
  onGroupUpdate?: (update: GroupUpdate) => void;
  /** Called with what the entry writes to the platform about requests in quarantine. */
  publish?: (key: string, value: Uint8Array | undefined) => void;
  /** Bounds on requests to cold upstreams; none by default. */
  warmup?: WarmupBounds;
  /** Remaining warm-up of the upstream with this index; 0 by default. */
  warmupLeftMsOf?: (index: number) => number;
  /** Data centre of the upstream with this index; that of the entry by default. */
  dataCentreOf?: (index: number) => string;
  /** Whether the service has a second stream route, of another priority; none by default. */
  hasSeveralPriorities?: boolean;
  /** Clock of the entry; the system clock by default. */
  clock?: Clock;
}

const baseRoute: Route = {
  name: 'r',
  host: 'a.example',
  pathPrefix: '/p/',
  kind: 'safe',
  resumable: false,
  timeoutMs: 1_000,
  targetMs: 100,
  targetPauseMs: undefined,
  priority: 1,
  maxAttempts: 2,
  anonymous: true,
  services: [{ service: 's', weight: 1 }],
};

const encode = (fields: object): Uint8Array => Buffer.from(JSON.stringify(fields));

/** Starts the request handling; `ask` sends a request as a caller. */
export const startEntry = async (options: EntryOptions) => {
  const clock = options.clock ?? systemClock;
  const random = createSeededRandom(3);
  const metrics = createMetrics();
  const log = silentEventLog;
  const quarantine = createQuarantine({
    node: 'entry',
    broadcast: (update) => options.onCrashUpdate?.(update),
    publish: async (key, value) => {
      options.publish?.(key, value);
      return true;
    },
    clock,
    metrics,
    log,
  });
  const checkExit = createExitCheck<UpstreamRecord>({
    ...{ delayMs: 80, timeoutMs: 350 },
    onExited: (upstream) => quarantine.handleEnd(upstream, 'refused-connection'),
    onAlive: quarantine.handleAlive,
    clock,
  });
  const limits = { headerBytes: 8_192, bodyBytes: 1_000, headerTimeoutMs: 500, idleTimeoutMs: 500 };
  const routeTable = createRouteTable({
    version: 1,
    routes: [
      { ...baseRoute, ...options.route },
      ...(options.hasSeveralPriorities
        ? [
            {
              ...baseRoute,
              ...options.route,
              name: 'less-urgent',
              pathPrefix: '/less/',
              priority: 9,
            },
          ]
        : []),
    ],
    services: [],
    limits,
    organisations: undefined,
    ...options.intent,
  });
  const outages = createServiceOutages({ clock, metrics, log });
  const evacuated = new Set<string>();
  const { groups, takeUp, ...rankGroups } = createRankGroups({
    broadcast: (update) => options.onGroupUpdate?.(update),
    turn: () => 0,
    entries: () => 1,
    clock,
    random,
    metrics,
    log,
  });
  const directory = createDirectory({
    decode: (key, value) => ok({ ...JSON.parse(Buffer.from(value).toString()), instance: key }),
    dataCentre: 'd',
    onExited: (upstream) => quarantine.handleEnd(upstream, 'started-again'),
    maxConnections: (service) => routeTable.service(service)?.maxConnections ?? Infinity,
    connectedFraction: () => 1,
    warmupBounds: () => options.warmup,
    entrySharing: () => ({ entries: 1, connectedFraction: 1, position: () => 0 }),
    exclusions: [excludeEvacuated(evacuated), rankGroups.exclusion],
    ...rankGroups.selection,
    logRecoveredAt: () => -Infinity,
    clock,
    random,
    metrics,
    log,
  });
  rankGroups.setUpstreams(directory.all);
  options.upstreams.forEach(({ port }, at) => {
    const dataCentre = options.dataCentreOf?.(at) ?? 'd';
    const fields = { service: 's', host: '127.0.0.1', port, dataCentre, slots: 4 };
    const state = { state: 'ready', sequence: 1, startedAt: 0 };
    const warmupLeftMs = options.warmupLeftMsOf?.(at) ?? 0;
    directory.apply({ key: `i${at}`, value: encode({ ...fields, ...state, warmupLeftMs }) });
  });
  const evacuations = createEvacuations({
    decode: (key) => key,
    dataCentres: evacuated,
    upstreams: directory.all,
    intentAgeMs: () => 0,
    boundMs: () => 5_000,
    onRequested: () => {
      if (directory.excludedReason('s')) outages.release('s');
    },
    clock,
    metrics,
    log,
  });
  const rateLimits = createRateLimits({
    upstreams: directory.all,
    broadcast: (update) => options.onRateUpdate?.(update),
    metrics,
    log,
  });
  const survival = createAnswerSurvival({
    dialect: testDialect,
    healthPath: (service) => routeTable.service(service)?.healthPath,
    onExited: (upstream) => quarantine.handleEnd(upstream, 'refused-connection'),
    onWarmup: rateLimits.recordHealth,
    clock,
    metrics,
    log,
  });
  const streamAdmission = createStreamAdmission({
    directory,
    routeTable: () => routeTable,
    groups: {
      nameOf: () => undefined,
      openForMs: () => Infinity,
    },
    entries: () => 1,
    connectedFraction: () => 1,
    clock,
    random,
    metrics,
  });
  const handle = createRequestHandler({
    dialect: testDialect,
    directory,
    rateLimits,
    admission: createAdmission(clock, log),
    streamAdmission,
    budget: createRetryBudget({
      limits: () => ({
        ratio: 0,
        windowMs: 10_000,
        allowance: options.retryAllowance ?? 100,
      }),
      entries: () => 1,
      startedAt: -Infinity,
      clock,
    }),
    clock,
    random,
    metrics,
    log,
    isStarting: () => options.isStarting ?? false,
    lifecycle: options.lifecycle ?? createLifecycle(clock),
    outages,
    groups,
    takeUp,
    quarantine,
    checkExit,
    survival,
    entries: () => 1,
    waitForIntent: async () => {},
    routeTable: () => (options.withoutIntent ? undefined : routeTable),
    intentAgeMs: () => options.intentAgeMs ?? 0,
  });
  const server = createServer(handle);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;

  const send = (
    headers: Record<string, string> = {},
    path = '/p/x',
    body = '',
    disconnectAfterMs?: number,
  ): Promise<CallerResponse> =>
    new Promise((resolve) => {
      const startedAt = performance.now();
      const method = body === '' ? 'GET' : 'POST';
      const allHeaders = { host: 'a.example', 'x-id': 'q1', ...headers };
      const req = request({
        host: '127.0.0.1',
        port,
        path,
        method,
        headers: allHeaders,
        agent: false,
      });
      const failure = { status: 0, headers: {}, body: '', isComplete: false };
      const ms = (): number => performance.now() - startedAt;
      req.on('error', () => resolve({ ...failure, ms: ms() }));
      req.on('response', (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', () => {});
        res.on('close', () => {
          const text = Buffer.concat(chunks).toString();
          const { statusCode = 0, headers: responseHeaders, complete } = res;
          resolve({
            status: statusCode,
            headers: responseHeaders,
            body: text,
            isComplete: complete,
            ms: ms(),
          });
        });
      });
      req.end(body);
      if (disconnectAfterMs !== undefined) setTimeout(() => req.destroy(), disconnectAfterMs);
    });

  return {
    port,
    send,
    metrics,
    directory,
    rateLimits,
    groups,
    streamAdmission,
    quarantine,
    outages,
    /** Closes all callers' connections, as when the process is killed. */
    closeConnections: () => server.closeAllConnections(),
    /** Evacuates a data centre, or takes it back. */
    setEvacuated: (dataCentre: string, isEvacuated: boolean): void =>
      evacuations.apply({ key: dataCentre, value: isEvacuated ? encode({}) : undefined }),
    close: async (): Promise<void> => {
      streamAdmission.close();
      survival.close();
      evacuations.close();
      server.closeAllConnections();
      server.close();
      await Promise.all(options.upstreams.map((upstream) => upstream.close()));
    },
  };
};
