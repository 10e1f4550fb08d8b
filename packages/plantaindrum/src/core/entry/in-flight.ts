/** What is still in flight in one data centre, as its nodes tell it. */

import type { NodeStatus } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/platform';

/** One node's answer; without its figures when it did not answer. */
export interface NodeInFlight {
  node: string;
  role: 'entry' | 'agent';
  inFlight?: number;
  /** Offset of the intent that the node follows. */
  intentOffset?: number;
}

/** Asks the nodes of a data centre. */
export interface InFlightOptions {
  self: { name: string; dataCentre: string; status: () => NodeStatus };
  vms: () => readonly Vm[];
  /** Asks one node; undefined when it does not answer in time. */
  askNode: (vm: Vm) => Promise<NodeStatus | undefined>;
}

const figuresOf = (status: NodeStatus | undefined): Partial<NodeInFlight> =>
  status ? { inFlight: status.inFlight, intentOffset: status.intent.offset } : {};

/** Collects what is in flight in a data centre; nodes that don't answer are listed as well. */
export const collectInFlight = async (
  dataCentre: string,
  { self, vms, askNode }: InFlightOptions,
): Promise<NodeInFlight[]> => {
  const others = vms().filter((vm) => vm.dataCentre === dataCentre && vm.name !== self.name);
  const answers = await Promise.all(
    others.map(async (vm): Promise<NodeInFlight> => {
      const status = await askNode(vm);
      return { node: vm.name, role: vm.role === 'entry' ? 'entry' : 'agent', ...figuresOf(status) };
    }),
  );
  if (self.dataCentre !== dataCentre) return answers;
  return [{ node: self.name, role: 'entry', ...figuresOf(self.status()) }, ...answers];
};
