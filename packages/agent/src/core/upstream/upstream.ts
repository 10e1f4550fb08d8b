/** HTTP client of the engine or service beside this agent. */

import { Agent } from 'node:http';
import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { Agent as SecureAgent } from 'node:https';
import type { Clock, Metrics } from '@plantaindrum/common';
import {
  confirmSurvival,
  createBodyCheck,
  createExitCheck,
  createLiveness,
  hasFraming,
  startExchange,
} from '@plantaindrum/exchange';
import type { Exchange, Identity, LivenessHold, UpstreamAddress } from '@plantaindrum/exchange';
import { answerHeaders } from './headers.js';

/** One call to the upstream. */
export interface UpstreamRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  /** Uses a connection of its own, see `createUpstream`. */
  runsAtMostOnce: boolean;
  /** Whether the call resumes a stream, which may have no event left. */
  isResumed: boolean;
}

/** Receives the upstream's answer as it arrives. */
export interface ResponseSink {
  /** Called when the connection is established, from when on the call may run. */
  sent(): void;
  head(status: number, headers: Record<string, string>): void;
  /** Receives bytes; a returned promise pauses reading from the upstream until it resolves. */
  data(bytes: Uint8Array): Promise<void> | undefined;
}

/** How a call ended: `not-sent` means that no byte was written to the upstream. */
export type UpstreamOutcome =
  | { outcome: 'whole' }
  | { outcome: 'not-sent'; detail: string }
  | { outcome: 'broken'; detail: string };

/** The upstream beside this agent. */
export interface Upstream {
  call(req: UpstreamRequest, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamOutcome>;
  close(): void;
}

/** Options of `createUpstream`. */
export interface UpstreamOptions {
  /** Base address of the upstream. */
  url: string;
  clock: Clock;
  metrics: Metrics;
}

const CONNECT_TIMEOUT_MS = 10_000;
/** Timeout of the connection with which the end of an answer is checked, in ms; the upstream is beside the agent. */
const EXIT_CHECK_TIMEOUT_MS = 100;

/** Idle connections are closed after this, in ms, before most upstreams close them. */
const KEEP_ALIVE_MS = 4_000;

/** Address of the upstream, as the Host field names it as well, and whether it uses TLS. */
interface UpstreamTarget extends UpstreamAddress {
  authority: string;
  isSecure: boolean;
}

const targetOf = (url: string): UpstreamTarget => {
  const { host, hostname, port, protocol } = new URL(url);
  const isSecure = protocol === 'https:';
  const defaultPort = isSecure ? 443 : 80;
  return {
    instance: url,
    authority: host,
    host: hostname.replace(/^\[|\]$/g, ''),
    port: port === '' ? defaultPort : Number(port),
    isSecure,
  };
};

/**
 * Creates the client of the upstream.
 *
 * A call that runs at most once gets a new connection. The upstream may close a kept-alive connection
 * just as the request is sent, and then it is unknown whether the request ran.
 */
export const createUpstream = ({ url, clock, metrics }: UpstreamOptions): Upstream => {
  const target = targetOf(url);
  const { authority, host, port, isSecure } = target;
  const agentOptions = { keepAlive: true, timeout: KEEP_ALIVE_MS };
  const connections = isSecure ? new SecureAgent(agentOptions) : new Agent(agentOptions);
  const liveness = createLiveness({
    onClosed: () => metrics.count('upstream_connections_closed'),
    clock,
  });
  const checkExit = createExitCheck<UpstreamAddress>({
    ...{ delayMs: 0, timeoutMs: EXIT_CHECK_TIMEOUT_MS },
    clock,
  });
  // Engines and services don't state an instance of theirs.
  const identify = async (): Promise<Identity> => 'unknown';

  /** Forwards an answer; resolves to why it is not complete, or to undefined. */
  const forwardAnswer = async (
    { forwardBody }: Exchange,
    res: IncomingMessage,
    held: LivenessHold,
    req: UpstreamRequest,
    sink: ResponseSink,
  ): Promise<string | undefined> => {
    const isFramed = hasFraming(res);
    const bodyCheck = createBodyCheck(res.headers['content-type'] ?? '', req.isResumed);
    sink.head(res.statusCode ?? 0, answerHeaders(res.headers));
    const end = await forwardBody((bytes) => {
      if (!isFramed) bodyCheck.push(bytes);
      return sink.data(bytes);
    });
    if (end === 'broken') return 'the answer broke off';
    if (isFramed) return undefined;
    if (bodyCheck.isCut()) return 'the answer is cut off';
    const survival = await confirmSurvival(target, held.connection(), { checkExit, identify });
    metrics.count('unframed_answers', { survival });
    return survival === 'alive' ? undefined : 'the upstream may have exited';
  };

  const call = async (
    req: UpstreamRequest,
    sink: ResponseSink,
    signal: AbortSignal,
  ): Promise<UpstreamOutcome> => {
    if (signal.aborted) return { outcome: 'not-sent', detail: 'the call was cancelled' };
    const { method, path, body, runsAtMostOnce } = req;
    const length = body.length > 0 ? { 'content-length': String(body.length) } : {};
    const headers: OutgoingHttpHeaders = { ...req.headers, ...length, host: authority };
    const exchange = startExchange(
      {
        ...{ host, port, isSecure, method, path, headers, body },
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        onConnected: sink.sent,
        ...(!runsAtMostOnce && { connections }),
      },
      clock,
    );
    const held = liveness.hold(target);
    signal.addEventListener('abort', exchange.abort);
    try {
      const head = await exchange.head;
      if (head.outcome === 'not-sent') return { outcome: 'not-sent', detail: head.why };
      if (head.outcome === 'unknown') return { outcome: 'broken', detail: head.why };
      const fault = await forwardAnswer(exchange, head.res, held, req, sink);
      return fault === undefined ? { outcome: 'whole' } : { outcome: 'broken', detail: fault };
    } finally {
      signal.removeEventListener('abort', exchange.abort);
      held.release();
    }
  };

  return {
    call,
    close: () => {
      connections.destroy();
      liveness.close();
    },
  };
};
