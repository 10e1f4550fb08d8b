/** Callers that keep their connections open, and the results of their requests. */

import { Agent, request } from 'node:http';
import { callerHeaders, promptHeaders } from '@plantaindrum/stand-ins';
import type { PromptRequest } from './prompts.js';
import { SITE_PORTS } from './site.js';

/** A request and how it ended. */
export interface PromptCall {
  id: string;
  request: PromptRequest;
  sentAt: number;
  /** Status of the response; 0 without one. */
  status: number;
  /** The reason of a refusal by the entry; empty otherwise. */
  reason: string;
  isComplete: boolean;
}

/** Callers of one site. */
export interface PromptCallers {
  calls: readonly PromptCall[];
  /** Sends a request to an entry, once. */
  send(entryIp: string, prompt: PromptRequest, connection?: 'kept' | 'new'): void;
  /** Waits for all requests, and closes the connections. */
  close(): Promise<void>;
}

const WAIT_MS = 3_010;
const CONNECTIONS_PER_ENTRY = 24;

/** Creates the callers. */
export const createPromptCallers = (): PromptCallers => {
  const agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_ENTRY });
  const calls: PromptCall[] = [];
  const pending = new Set<Promise<void>>();

  const sendOnce = (
    entryIp: string,
    prompt: PromptRequest,
    call: PromptCall,
    connection: 'kept' | 'new',
  ): Promise<void> =>
    new Promise((resolve) => {
      const headers = {
        ...callerHeaders(call.id, prompt.key, WAIT_MS),
        ...promptHeaders(prompt.parts),
      };
      const path = `/${prompt.kind}/${call.id}`;
      const target = { host: entryIp, port: SITE_PORTS.callers, path, method: 'POST', headers };
      const options = { ...target, agent: connection === 'kept' && agent, timeout: 2 * WAIT_MS };
      const req = request(options, (res) => {
        const chunks: Buffer[] = [];
        Object.assign(call, { status: res.statusCode ?? 0 });
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', () => {});
        res.on('close', () => {
          const reason = call.status >= 300 ? Buffer.concat(chunks).toString().trim() : '';
          Object.assign(call, { isComplete: res.complete, reason });
          resolve();
        });
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => {});
      req.on('close', resolve);
      req.end(`work ${call.id}`);
    });

  return {
    calls,
    send: (entryIp, prompt, connection = 'kept') => {
      const sentAt = performance.now();
      const id = `c${calls.length + 1}`;
      const call = { id, request: prompt, sentAt, status: 0, reason: '', isComplete: false };
      calls.push(call);
      const sent = sendOnce(entryIp, prompt, call, connection);
      pending.add(sent);
      void sent.then(() => pending.delete(sent));
    },
    close: async () => {
      await Promise.all(pending);
      agent.destroy();
    },
  };
};
