/**
 * A stand-in of the users' model server as a process of its own, for tests in which servers crash: it ends when it
 * begins an answer on a prompt with one of certain parts. A rank of a group can be stalled and closed from outside.
 */

import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { promptPartsOf } from './prompt-headers.js';

/** Environment variable with the settings of the server, as JSON. */
export const MODEL_SERVER_VARIABLE = 'MODEL_SERVER';

/** What a server has sent when it crashes on a prompt. */
export type CrashPoint = 'nothing' | 'head' | 'event';

/** State of the group that the server is a rank of; a server without a group is always open. */
export type GroupState = 'open' | 'stalled' | 'broken';

/** Settings of the server. */
export interface ModelServerSettings {
  host: string;
  port: number;
  instance: string;
  /** Ids of the parts of prompts on which the server crashes. */
  crashParts: readonly string[];
  crashPoint: CrashPoint;
  /** Time to the first event of an answer, and between two events, in ms. */
  firstEventMs: number;
  eventMs: number;
  events: number;
  /** Requests in flight above which the server refuses. */
  maxRequests: number;
  /** Whether answers have a length or chunks; without, they end with their connection. */
  isFramed: boolean;
}

/** Lines that the server prints after its ready line. */
export interface ModelServerLine {
  /** Id of a request with a part on which the server crashes, printed when the request arrives. */
  arrived: string;
}

const PATH_OF_GROUP_STATE = '/stand-in/group/';
/** Time for the last bytes before a crash to leave the process, in ms. */
const FLUSH_MS = 5;
/** How often a stalled answer looks whether its group goes on, in ms. */
const STALL_POLL_MS = 10;

/** Sets the group state of a running server. */
export const setGroupState = async (
  { host, port }: Pick<ModelServerSettings, 'host' | 'port'>,
  state: GroupState,
): Promise<void> => {
  const res = await fetch(`http://${host}:${port}${PATH_OF_GROUP_STATE}${state}`, {
    method: 'POST',
  });
  await res.arrayBuffer();
};

const crash = async (): Promise<never> => {
  await delay(FLUSH_MS);
  process.kill(process.pid, 'SIGKILL');
  return new Promise(() => {});
};

/** Runs the server in this process. */
export const runModelServer = (settings: ModelServerSettings): void => {
  const { instance, crashParts, crashPoint, isFramed } = settings;
  let state: GroupState = 'open';
  let inFlight = 0;
  const unanswered = new Set<ServerResponse>();

  const refuse = (res: ServerResponse, status: number): void => {
    res.writeHead(status, { 'X-Not-Executed': '1', 'X-Instance-Id': instance }).end();
  };

  /** Waits for a time in which the group makes passes; false once the response is closed. */
  const work = async (res: ServerResponse, ms: number): Promise<boolean> => {
    await delay(ms);
    while (state === 'stalled' && !res.destroyed) await delay(STALL_POLL_MS);
    return !res.destroyed && !res.writableEnded;
  };

  const setState = (next: GroupState): void => {
    state = next;
    if (next !== 'broken') return;
    unanswered.forEach((res) => {
      if (res.headersSent) res.destroy();
      else refuse(res, 503);
    });
  };

  const begin = (res: ServerResponse, id: string, type: string): void => {
    if (!isFramed) res.useChunkedEncodingByDefault = false;
    res.writeHead(200, {
      'X-Request-Id': id,
      'X-Server-Stamp': `stamp-${instance}`,
      'Content-Type': type,
    });
  };

  const answer = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const id = String(req.headers['x-request-id']);
    const isStream = (req.url ?? '').startsWith('/gen/');
    const first = Number(req.headers['last-event-id'] ?? 0) + 1;
    const isHarmful = promptPartsOf(req).some((part) => crashParts.includes(part));
    if (!(await work(res, settings.firstEventMs))) return;
    if (isHarmful) {
      if (crashPoint === 'nothing') await crash();
      begin(res, id, isStream ? 'text/event-stream' : 'text/plain');
      if (crashPoint === 'event' && isStream) res.write(`id: ${first}\ndata: t\n\n`);
      else res.flushHeaders();
      await crash();
    }
    begin(res, id, isStream ? 'text/event-stream' : 'text/plain');
    for (let event = first; isStream && event <= settings.events; event += 1) {
      res.write(`id: ${event}\ndata: t\n\n`);
      if (!(await work(res, settings.eventMs))) return;
    }
    res.end(isStream ? undefined : 'done');
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    req.resume();
    const url = req.url ?? '/';
    if (url.startsWith(PATH_OF_GROUP_STATE)) {
      setState(url.slice(PATH_OF_GROUP_STATE.length) as GroupState);
      res.end();
      return;
    }
    const id = String(req.headers['x-request-id']);
    if (promptPartsOf(req).some((part) => crashParts.includes(part))) {
      process.stdout.write(`${JSON.stringify({ arrived: id } satisfies ModelServerLine)}\n`);
    }
    if (req.headers['x-expect-instance'] !== instance) {
      refuse(res, 421);
      return;
    }
    if (state === 'broken' || inFlight >= settings.maxRequests) {
      refuse(res, 503);
      return;
    }
    inFlight += 1;
    unanswered.add(res);
    res.once('close', () => {
      inFlight -= 1;
      unanswered.delete(res);
    });
    await answer(req, res);
  };

  const server = createServer((req, res) => {
    void serve(req, res);
  });
  server.listen(settings.port, settings.host, () => {
    process.stdout.write('{"ready":true}\n');
  });
};
