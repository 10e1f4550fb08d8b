/** Waits until a data centre that is being stopped has no requests in flight. */

import type { Clock } from '@plantaindrum/common';
import { exitCodes, sleep } from '@plantaindrum/common';
import type { NodeReport } from '../../core/entry/node-reports.js';
import type { CliIo } from '../io.js';
import type { OperatorClient } from '../operator-client.js';

const POLL_INTERVAL_MS = 500;
/** Consecutive idle polls required: one poll can miss a request that is passing between nodes. */
const REQUIRED_IDLE_POLLS = 3;

const describeNode = (
  { node, role, inFlight, intentOffset }: NodeReport,
  version: number,
): string => {
  if (inFlight === undefined) return `${node} (${role}) does not answer`;
  const lag = (intentOffset ?? -1) >= version ? '' : ', has not received the stop';
  return `${node} (${role}) ${inFlight}${lag}`;
};

/** A node that does not answer counts as idle, since it may never return; it is still reported. */
const isIdle = ({ inFlight, intentOffset }: NodeReport, version: number): boolean =>
  inFlight === undefined || (inFlight === 0 && (intentOffset ?? -1) >= version);

const describeInFlight = (nodes: NodeReport[], version: number): string => {
  const shown = nodes.filter((node) => !isIdle(node, version) || node.inFlight === undefined);
  if (shown.length === 0) return 'nothing in flight';
  return `in flight: ${shown.map((node) => describeNode(node, version)).join('; ')}`;
};

/** Operators power machines off after this line, so it names every node that did not answer. */
const describeResult = (name: string, unanswered: NodeReport[]): string => {
  if (unanswered.length === 0) return `${name} is stopped: nothing is in flight`;
  const names = unanswered.map(({ node }) => node).join(', ');
  return `${name}: nothing is in flight at the nodes that answer; no answer from ${names}`;
};

/**
 * Polls the nodes and prints the requests in flight whenever they change, until there are none and
 * every node that answers has the version of the stop. Resolves with the exit code: `unreachable`
 * when at least one node did not answer.
 */
export const waitUntilIdle = async (
  client: Pick<OperatorClient, 'get'>,
  { name, version }: { name: string; version: number },
  io: Pick<CliIo, 'out'>,
  clock: Clock,
): Promise<number> => {
  let lastLine = '';
  let idlePolls = 0;
  let nodes: NodeReport[] = [];
  while (idlePolls < REQUIRED_IDLE_POLLS) {
    const path = `/nodes?data-centre=${encodeURIComponent(name)}`;
    nodes = (await client.get(path)) as NodeReport[];
    idlePolls = nodes.every((node) => isIdle(node, version)) ? idlePolls + 1 : 0;
    const line = describeInFlight(nodes, version);
    if (line !== lastLine) io.out(line);
    lastLine = line;
    if (idlePolls < REQUIRED_IDLE_POLLS) await sleep(clock, POLL_INTERVAL_MS);
  }
  const unanswered = nodes.filter(({ inFlight }) => inFlight === undefined);
  io.out(describeResult(name, unanswered));
  return unanswered.length === 0 ? exitCodes.ok : exitCodes.unreachable;
};
