/** A minimal stand-in for the users' model server: one rank that handles orders and requests. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { sendEndlessly } from './endless-answer.js';
import type { EndlessAnswer } from './endless-answer.js';
import { promptPartsOf } from './prompt-headers.js';
import { evaluateRankOrder } from './rank-orders.js';

/** Header field with the time after which the server ends its answer to a request, in ms. */
export const HOLD_HEADER = 'X-Hold-Ms';

/** State of the rank that the stand-in simulates. */
export interface RankState {
  epoch: number;
  step: number;
  map: number;
  prepared: number | null;
  armed: { version: number; step: number } | null;
  held: number | null;
  experts: number[][];
  preparedExperts: number[][];
  counts: number[];
}

/** The ranks of one group, which run each pass together. */
export interface GroupStandIn {
  name: string;
  size: number;
  ranks: RankState[];
  /** Starts the next pass unless a rank holds it; each rank counts the experts that it selects. */
  pass(): void;
  /** Simulates the restart of a rank: the group forms in a new epoch with map 0. */
  reform(rank: number): void;
  /** Closes the group until it reforms: its ranks refuse orders and start no pass. */
  breakUp(): void;
  isOpen(): boolean;
  /** Number of passes that started with different maps. */
  mixedPasses(): number;
}

/** Options of `createGroup`. */
export interface GroupOptions {
  /** Default: `g`. */
  name?: string;
  size: number;
  sets: number;
  experts: number;
  /**
   * Returns how often one rank selects each expert in a pass: one number per expert, set by set.
   */
  selectionCounts: () => number[];
}

/** Creates a group with map 0, which assigns the experts to the ranks round-robin. */
export const createGroup = ({
  name = 'g',
  size,
  sets,
  experts,
  selectionCounts,
}: GroupOptions): GroupStandIn => {
  const assignRoundRobin = (rank: number): number[] =>
    Array.from({ length: experts }, (_, expert) => expert).filter((e) => e % size === rank);
  const createRankState = (rank: number): RankState => ({
    epoch: 1,
    step: 0,
    map: 0,
    prepared: null,
    armed: null,
    held: null,
    experts: Array.from({ length: sets }, () => assignRoundRobin(rank)),
    preparedExperts: [],
    counts: new Array<number>(sets * experts).fill(0),
  });
  const ranks = Array.from({ length: size }, (_, rank) => createRankState(rank));
  let mixed = 0;
  let isOpen = true;

  const beginPass = (rank: RankState, step: number): void => {
    const { armed, preparedExperts } = rank;
    const changes =
      armed?.step === step
        ? { map: armed.version, experts: preparedExperts, armed: null, prepared: null }
        : {};
    const selected = selectionCounts();
    const counts = rank.counts.map((n, at) => n + (selected[at] ?? 0));
    Object.assign(rank, changes, { step, counts });
  };

  return {
    name,
    size,
    ranks,
    pass: () => {
      const next = (ranks[0]?.step ?? 0) + 1;
      if (!isOpen || ranks.some(({ held }) => held === next)) return;
      ranks.forEach((rank) => beginPass(rank, next));
      if (new Set(ranks.map(({ map }) => map)).size > 1) mixed += 1;
    },
    reform: (restarted) => {
      isOpen = true;
      ranks.forEach((rank, at) => {
        const epoch = rank.epoch + 1;
        const counts = at === restarted ? rank.counts.map(() => 0) : rank.counts;
        Object.assign(rank, createRankState(at), { epoch, step: rank.step, counts });
      });
    },
    breakUp: () => {
      isOpen = false;
    },
    isOpen: () => isOpen,
    mixedPasses: () => mixed,
  };
};

interface Order {
  op: string;
  epoch?: number;
  version: number;
  step: number;
  map: number[][][];
}

const STATUS = { begun: 202, done: 200, refused: 409, unknown: 400 } as const;

const executeOrder = (state: RankState, rank: number, order: Order): number => {
  const { outcome, change } = evaluateRankOrder(
    {
      ...state,
      prepared: state.prepared ?? undefined,
      isCopied: true,
      highest: Math.max(state.map, state.prepared ?? 0),
      armed: state.armed ?? undefined,
      held: state.held ?? undefined,
    },
    order,
  );
  if (outcome === 'begun') {
    const preparedExperts = order.map.map((ranks) => ranks[rank] ?? []);
    Object.assign(state, { prepared: order.version, preparedExperts });
  }
  if ('armed' in change) Object.assign(state, { armed: change.armed ?? null });
  if ('held' in change) Object.assign(state, { held: change.held ?? null });
  return STATUS[outcome];
};

const readBody = async (req: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

/**
 * Unix time of a server's first start, and the time from each start to the next, in milliseconds.
 */
const FIRST_START_MS = 1_796_000_000_000;
const RESTART_DELAY_MS = 1_500;

/** Time from a crash until the server listens again, in milliseconds. */
const CRASH_MS = 700;

/** A running server. */
export interface ServerStandIn {
  /** Ids of the requests that were executed. */
  executedIds: string[];
  /** All requests received, executed or not, with their times (monotonic, in milliseconds). */
  arrivals: { id: string; at: number }[];
  /** Sets the rate limit (requests per second) advertised in responses; undefined for none. */
  advertiseLimit(perSecond: number | undefined): void;
  /** Sets whether the response to an executed request is lost: its connection is reset instead. */
  loseAnswers(isLost: () => boolean): void;
  /** Sets whether an answer has neither a length nor chunks and ends with its connection. */
  omitFraming(isOmitted: () => boolean): void;
  /** Sets with what an executed request, or a call to the server's rank, is answered without end; undefined: as usual. */
  spoilAnswers(draw: () => EndlessAnswer | undefined): void;
  /** Ids of the requests that were answered so. */
  spoiledIds: ReadonlySet<string>;
  /**
   * Has the server crash on requests whose prompt has this part: its connections are reset, and it refuses new ones until
   * it has restarted. Calls `onRestart` after each restart.
   */
  crashOnPart(part: string | undefined, onRestart: () => void): void;
  /** Times of the crashes (monotonic, in milliseconds). */
  crashes: readonly number[];
  /** Unix time of the current start, in milliseconds. */
  startedAt(): number;
  /**
   * Simulates a crash and restart under the same instance id: holds and selection counts are lost.
   */
  restart(): void;
  /** Returns the headers of the last request. */
  lastHeaders(): IncomingMessage['headers'];
  close(): Promise<void>;
}

/** Starts a server: one rank of `group` if given, else a plain service. */
export const startServerStandIn = async (
  listen: { host: string; port: number },
  instance: string,
  group?: { group: GroupStandIn; rank: number },
): Promise<ServerStandIn> => {
  const executedIds: string[] = [];
  const arrivals: { id: string; at: number }[] = [];
  let limit: Record<string, string> = {};
  let isAnswerLost = (): boolean => false;
  let isFramingOmitted = (): boolean => false;
  let drawEndless = (): EndlessAnswer | undefined => undefined;
  let crashPart: { part: string | undefined; onRestart: () => void } | undefined;
  const crashes: number[] = [];
  const spoiledIds = new Set<string>();
  const server: Server = createServer();
  let isClosed = false;
  let startedAt = FIRST_START_MS;
  let lastHeaders: IncomingMessage['headers'] = {};
  const state = group?.group.ranks[group.rank];

  const reply = (res: ServerResponse, status: number, value?: unknown): void => {
    res.writeHead(status, { 'Content-Type': 'application/json' });
    res.end(value === undefined ? '' : JSON.stringify(value));
  };

  const stateReport = (): unknown => {
    const { epoch, step, map, prepared, armed, held } = state ?? {};
    const groupInfo = {
      name: group?.group.name,
      epoch,
      rank: group?.rank,
      state: group?.group.isOpen() === false ? 'broken' : 'open',
    };
    const size = group?.group.size;
    return { born: startedAt, group: groupInfo, size, step, map, prepared, armed, held };
  };

  const selectionReport = (withExpertLists: boolean): unknown =>
    withExpertLists
      ? {
          born: startedAt,
          epoch: state?.epoch,
          map: { version: state?.map, experts: state?.experts },
        }
      : { born: startedAt, step: state?.step, epoch: state?.epoch, counts: state?.counts };

  const restart = (): void => {
    startedAt += RESTART_DELAY_MS;
    group?.group.reform(group.rank);
  };

  const crash = (): void => {
    crashes.push(performance.now());
    server.close();
    server.closeAllConnections();
    restart();
    setTimeout(() => {
      if (isClosed) return;
      server.listen(listen.port, listen.host);
      crashPart?.onRestart();
    }, CRASH_MS);
  };

  const handleRequest = (req: IncomingMessage, res: ServerResponse): void => {
    const id = String(req.headers['x-request-id']);
    arrivals.push({ id, at: performance.now() });
    lastHeaders = req.headers;
    if (req.headers['x-expect-instance'] !== instance) {
      res.writeHead(421, { 'X-Instance-Id': instance }).end();
      return;
    }
    executedIds.push(id);
    if (crashPart?.part !== undefined && promptPartsOf(req).includes(crashPart.part)) {
      crash();
      return;
    }
    if (isAnswerLost()) {
      req.socket.resetAndDestroy();
      return;
    }
    if (isFramingOmitted()) res.useChunkedEncodingByDefault = false;
    const successHeaders = { 'X-Request-Id': id, 'X-Server-Stamp': `stamp-${instance}`, ...limit };
    const holdMs = Number(req.headers[HOLD_HEADER.toLowerCase()] ?? 0);
    const endless = drawEndless();
    if (endless) {
      spoiledIds.add(id);
      sendEndlessly(req.socket, endless, successHeaders);
      return;
    }
    const afterHold = (end: () => void): void => {
      if (holdMs === 0) end();
      else setTimeout(end, holdMs);
    };
    if (!group) {
      const headers = { ...successHeaders, 'X-Server-Load': '1,0,6' };
      afterHold(() => res.writeHead(200, headers).end('done'));
      return;
    }
    res.writeHead(200, { ...successHeaders, 'Content-Type': 'text/event-stream' });
    const writeEvent = (event: number): boolean => res.write(`id: ${event}\ndata: t\n\n`);
    [1, 2].forEach(writeEvent);
    afterHold(() => {
      writeEvent(3);
      res.end();
    });
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const body = await readBody(req);
    const url = new URL(req.url ?? '/', 'http://server');
    const isRequest = !url.pathname.startsWith('/plantaindrum/');
    const endless = isRequest ? undefined : drawEndless();
    if (isRequest) handleRequest(req, res);
    else if (endless) sendEndlessly(req.socket, endless, {});
    else if (!state || !group) reply(res, 404);
    else if (url.pathname === '/plantaindrum/report') reply(res, 200, stateReport());
    else if (url.pathname === '/plantaindrum/picked') {
      reply(res, 200, selectionReport(url.searchParams.has('lists')));
    } else if (!group.group.isOpen()) reply(res, STATUS.refused);
    else reply(res, executeOrder(state, group.rank, JSON.parse(body) as Order));
  };

  server.on('request', (req, res) => {
    void serve(req, res);
  });
  await new Promise<void>((resolve) => {
    server.listen(listen.port, listen.host, resolve);
  });
  return {
    executedIds,
    arrivals,
    advertiseLimit: (perSecond) => {
      limit = perSecond === undefined ? {} : { 'Server-Limit': String(perSecond) };
    },
    loseAnswers: (isLost) => {
      isAnswerLost = isLost;
    },
    omitFraming: (isOmitted) => {
      isFramingOmitted = isOmitted;
    },
    spoiledIds,
    spoilAnswers: (draw) => {
      drawEndless = draw;
    },
    crashOnPart: (part, onRestart) => {
      crashPart = { part, onRestart };
    },
    crashes,
    startedAt: () => startedAt,
    restart,
    lastHeaders: () => lastHeaders,
    close: () =>
      new Promise((resolve) => {
        isClosed = true;
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};
