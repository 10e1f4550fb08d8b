/** What other nodes tell about themselves: work in flight, intent, expert group. */

import type { NodeStatus } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/service-clients';

/** One node's report; without its figures when it did not answer. */
export interface NodeReport {
  node: string;
  role: 'entry' | 'agent';
  dataCentre: string;
  inFlight?: number;
  /** Offset of the intent that the node follows. */
  intentOffset?: number;
  group?: unknown;
}

/** Asks nodes for their reports. */
export interface NodeReportsOptions {
  self: { name: string; dataCentre: string; status: () => NodeStatus };
  vms: () => readonly Vm[];
  /** Asks one node; undefined when it does not answer in time. */
  askNode: (vm: Vm) => Promise<NodeStatus | undefined>;
}

/** Asks the nodes of one data centre, or all that this entry knows. */
export type CollectReports = (dataCentre: string | undefined) => Promise<NodeReport[]>;

const figuresOf = (status: NodeStatus | undefined): Partial<NodeReport> => {
  if (!status) return {};
  const { inFlight, intent, group } = status;
  return { inFlight, intentOffset: intent.offset, ...(group !== undefined && { group }) };
};

/** Creates the question to many nodes; those that don't answer are listed without figures. */
export const createCollectReports = ({
  self,
  vms,
  askNode,
}: NodeReportsOptions): CollectReports => {
  const reportOf = async (vm: Vm): Promise<NodeReport> => {
    const { name: node, dataCentre } = vm;
    const role = vm.role === 'entry' ? 'entry' : 'agent';
    return { node, role, dataCentre, ...figuresOf(await askNode(vm)) };
  };

  const ownReport = (): NodeReport => {
    const { name: node, dataCentre, status } = self;
    return { node, role: 'entry', dataCentre, ...figuresOf(status()) };
  };

  return async (dataCentre) => {
    const isAsked = (vm: { dataCentre: string }): boolean =>
      dataCentre === undefined || vm.dataCentre === dataCentre;
    const others = vms().filter((vm) => isAsked(vm) && vm.name !== self.name);
    const reports = await Promise.all(others.map(reportOf));
    return isAsked(self) ? [ownReport(), ...reports] : reports;
  };
};
