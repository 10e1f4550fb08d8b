/** Waiting for the end of all work in a data centre that stops. */

import type { Clock } from '@plantaindrum/common';
import { exitCodes, sleep } from '@plantaindrum/common';
import type { NodeReport } from '../../core/entry/node-reports.js';
import type { CliIo } from '../io.js';
import type { OperatorsClient } from '../operators-client.js';

const POLL_MS = 500;
/** Readings in a row that must find nothing: a request may be between two nodes at one reading. */
const QUIET_READINGS = 3;

const describeNode = (
  { node, role, inFlight, intentOffset }: NodeReport,
  version: number,
): string => {
  if (inFlight === undefined) return `${node} (${role}) does not answer`;
  const heard = (intentOffset ?? -1) >= version ? '' : ', has not heard of the stop';
  return `${node} (${role}) ${inFlight}${heard}`;
};

/** A node that does not answer can't be waited for: it may be gone for good, and is shown. */
const isQuiet = ({ inFlight, intentOffset }: NodeReport, version: number): boolean =>
  inFlight === undefined || (inFlight === 0 && (intentOffset ?? -1) >= version);

const describeAll = (nodes: NodeReport[], version: number): string => {
  const shown = nodes.filter((node) => !isQuiet(node, version) || node.inFlight === undefined);
  if (shown.length === 0) return 'nothing in flight';
  return `in flight: ${shown.map((node) => describeNode(node, version)).join('; ')}`;
};

/** The last line; operators pull cables on its word, so it speaks for nodes that answered only. */
const describeEnd = (name: string, silent: NodeReport[]): string => {
  if (silent.length === 0) return `${name} is stopped: nothing is in flight`;
  const names = silent.map(({ node }) => node).join(', ');
  return `${name}: nothing is in flight at the nodes that answer; no answer from ${names}`;
};

/**
 * Prints what is in flight, on each change, until nothing is and every node that answers knows of
 * the stop. Resolves with the exit code: `unreachable` when some node did not answer.
 */
export const waitUntilQuiet = async (
  client: Pick<OperatorsClient, 'get'>,
  { name, version }: { name: string; version: number },
  io: Pick<CliIo, 'out'>,
  clock: Clock,
): Promise<number> => {
  let printed = '';
  let quiet = 0;
  let nodes: NodeReport[] = [];
  while (quiet < QUIET_READINGS) {
    const path = `/nodes?data-centre=${encodeURIComponent(name)}`;
    nodes = (await client.get(path)) as NodeReport[];
    quiet = nodes.every((node) => isQuiet(node, version)) ? quiet + 1 : 0;
    const line = describeAll(nodes, version);
    if (line !== printed) io.out(line);
    printed = line;
    if (quiet < QUIET_READINGS) await sleep(clock, POLL_MS);
  }
  const silent = nodes.filter(({ inFlight }) => inFlight === undefined);
  io.out(describeEnd(name, silent));
  return silent.length === 0 ? exitCodes.ok : exitCodes.unreachable;
};
