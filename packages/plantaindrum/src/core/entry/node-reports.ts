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
export interface ReportCollectorOptions {
  local: { name: string; dataCentre: string; status: () => NodeStatus };
  vms: () => readonly Vm[];
  /** Asks one node; undefined when it does not answer in time. */
  fetchNodeStatus: (vm: Vm) => Promise<NodeStatus | undefined>;
}

/** Asks the nodes of one data centre, or all that this entry knows. */
export type CollectReports = (dataCentre: string | undefined) => Promise<NodeReport[]>;

const toReportFields = (status: NodeStatus | undefined): Partial<NodeReport> => {
  if (!status) return {};
  const { inFlight, intent, group } = status;
  return { inFlight, intentOffset: intent.offset, ...(group !== undefined && { group }) };
};

/** Creates the question to many nodes; those that don't answer are listed without figures. */
export const createReportCollector = ({
  local,
  vms,
  fetchNodeStatus,
}: ReportCollectorOptions): CollectReports => {
  const fetchReport = async (vm: Vm): Promise<NodeReport> => {
    const { name: node, dataCentre } = vm;
    const role = vm.role === 'entry' ? 'entry' : 'agent';
    return { node, role, dataCentre, ...toReportFields(await fetchNodeStatus(vm)) };
  };

  const localReport = (): NodeReport => {
    const { name: node, dataCentre, status } = local;
    return { node, role: 'entry', dataCentre, ...toReportFields(status()) };
  };

  return async (dataCentre) => {
    const isIncluded = (vm: { dataCentre: string }): boolean =>
      dataCentre === undefined || vm.dataCentre === dataCentre;
    const others = vms().filter((vm) => isIncluded(vm) && vm.name !== local.name);
    const reports = await Promise.all(others.map(fetchReport));
    return isIncluded(local) ? [localReport(), ...reports] : reports;
  };
};
