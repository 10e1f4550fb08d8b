/** What is still in flight in one data centre, as its nodes tell it. */

import type { Link } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/platform';

/** One node's answer; `inFlight` is left out when it did not answer. */
export interface NodeInFlight {
  node: string;
  role: 'entry' | 'agent';
  inFlight?: number;
}

/** Asks the nodes of a data centre. */
export interface InFlightOptions {
  self: { name: string; dataCentre: string; inFlight: () => number };
  vms: () => Vm[];
  /** Calls one node, and gives up by itself. */
  askNode: (vm: Vm) => Promise<unknown>;
}

const CALL_MS = 2_000;

/** The method that every node answers with its work in flight. */
export const NODE_STATUS = 'node.status';

const countOf = (value: unknown): number | undefined => {
  const count = (value as { inFlight?: unknown } | undefined)?.inFlight;
  return typeof count === 'number' ? count : undefined;
};

/** Asks a node over an open link. */
export const askOverLink = async (link: Link | undefined): Promise<unknown> => {
  const called = await link?.call(NODE_STATUS, {}, CALL_MS);
  return called?.outcome === 'answered' ? called.value : undefined;
};

/** Collects what is in flight in a data centre; nodes that don't answer are listed without it. */
export const collectInFlight = async (
  dataCentre: string,
  { self, vms, askNode }: InFlightOptions,
): Promise<NodeInFlight[]> => {
  const others = vms().filter((vm) => vm.dataCentre === dataCentre && vm.name !== self.name);
  const answers = await Promise.all(
    others.map(async (vm): Promise<NodeInFlight> => {
      const inFlight = countOf(await askNode(vm));
      const role = vm.role === 'entry' ? 'entry' : 'agent';
      return { node: vm.name, role, ...(inFlight !== undefined && { inFlight }) };
    }),
  );
  if (self.dataCentre !== dataCentre) return answers;
  return [{ node: self.name, role: 'entry', inFlight: self.inFlight() }, ...answers];
};
