/** Collects reports of nodes: requests in flight, intent offset, expert group. */

import type { NodeStatus } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/service-clients';

/** Report of one node; the optional fields are missing when it did not answer. */
export interface NodeReport {
  node: string;
  role: 'entry' | 'agent';
  dataCentre: string;
  inFlight?: number;
  /** Offset of the intent that the node follows. */
  intentOffset?: number;
  group?: unknown;
}

/** Options of the report collector. */
export interface ReportCollectorOptions {
  local: { name: string; dataCentre: string; status: () => NodeStatus };
  vms: () => readonly Vm[];
  /** Fetches the status of a node; undefined when it does not answer in time. */
  fetchNodeStatus: (vm: Vm) => Promise<NodeStatus | undefined>;
}

/** Collects the reports of one data centre, or of all nodes that this entry knows. */
export type CollectReports = (dataCentre: string | undefined) => Promise<NodeReport[]>;

const toReportFields = (status: NodeStatus | undefined): Partial<NodeReport> => {
  if (!status) return {};
  const { inFlight, intent, group } = status;
  return { inFlight, intentOffset: intent.offset, ...(group !== undefined && { group }) };
};

/** Creates the report collector; nodes that don't answer are listed without their status. */
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
