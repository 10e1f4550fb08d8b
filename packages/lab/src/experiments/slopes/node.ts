/** What every node carries for the size of the fleet: metrics by organisation, the VM list. */

import { createMetrics } from '@plantaindrum/common';
import { parseVmList } from '@plantaindrum/service-clients';
import { fitLine } from './fit.js';
import type { Line } from './fit.js';
import { atSizes, bytesInUse, microsPerCall } from './measure.js';

const EXPOSITIONS_TIMED = 3;
const LISTS_TIMED = 3;

const seriesCost = async (organisations: number) => {
  const before = await bytesInUse();
  const metrics = createMetrics();
  for (let index = 0; index < organisations; index += 1) {
    const labels = { organisation: `organisation-${index}` };
    metrics.count('requests', { ...labels, outcome: 'answered' }, 12);
    metrics.record('answer_ms', 50 + (index % 900), labels);
  }
  const memoryBytes = (await bytesInUse()) - before;
  const micros = microsPerCall(EXPOSITIONS_TIMED, () => {
    metrics.exposition();
  });
  return { memoryBytes, micros, textBytes: metrics.exposition().length };
};

const targetOf = (index: number) => ({
  targets: [`10.${index % 200}.${Math.floor(index / 200) % 250}.7:7001`],
  labels: {
    vm: `kent-upstream-${index}`,
    role: 'upstream',
    data_centre: 'kent',
    region: 'northwest',
    state: 'live',
    kind: 'model',
    model: `model-${index % 22}`,
    group: `group-${Math.floor(index / 64)}`,
    ranks: [0, 1, 2, 3].map((rank) => (index % 64) * 4 + rank).join(','),
  },
});

const listCost = async (vms: number) => {
  const text = JSON.stringify(Array.from({ length: vms }, (_, index) => targetOf(index)));
  const before = await bytesInUse();
  const parsed = parseVmList(JSON.parse(text));
  const memoryBytes = (await bytesInUse()) - before;
  const micros = microsPerCall(LISTS_TIMED, () => {
    parseVmList(JSON.parse(text));
  });
  return {
    memoryBytes,
    micros,
    textBytes: text.length,
    count: parsed.ok ? parsed.value.length : 0,
  };
};

/** Lines over organisations with metrics of their own, and over VMs in the platform's list. */
export const nodeLines = async (
  organisations: number[],
  vms: number[],
): Promise<Record<string, Line>> => {
  const series = await atSizes(organisations, seriesCost);
  const lists = await atSizes(vms, listCost);
  const line = (
    per: string,
    unit: string,
    points: { n: number; memoryBytes: number; micros: number; textBytes: number }[],
    key: 'memoryBytes' | 'micros' | 'textBytes',
  ): Line =>
    fitLine(
      per,
      unit,
      points.map((point) => ({ n: point.n, y: point[key] })),
    );
  const counted = 'organisations, a counter and a histogram each';
  return {
    'metrics-memory': line(counted, 'bytes', series, 'memoryBytes'),
    'metrics-exposition-cpu': line(counted, 'us a scrape', series, 'micros'),
    'metrics-exposition-bytes': line(counted, 'bytes a scrape', series, 'textBytes'),
    'vm-list-memory': line('VMs', 'bytes', lists, 'memoryBytes'),
    'vm-list-cpu': line('VMs', 'us a reading', lists, 'micros'),
    'vm-list-bytes': line('VMs', 'bytes a reading', lists, 'textBytes'),
  };
};
