/** What the operators' intent costs a node: replay, memory, one more change, and its bytes. */

import { createHash } from 'node:crypto';
import { createIntentAggregate } from '@plantaindrum/intent';
import type { IntentAggregate, IntentRecord } from '@plantaindrum/intent';
import { encodeFrame } from '@plantaindrum/link';
import { fitLine } from './fit.js';
import type { Line } from './fit.js';
import { atSizes, bytesInUse, cpuMicros, microsPerCall } from './measure.js';

const CHANGES_TIMED = 20;

const keyHash = (index: number, base: number): string =>
  createHash('sha256').update(`${index}:${base}`).digest('hex');

/** A change of one organisation, as an operator's command makes it. */
const changeOf = (index: number, base: number): IntentRecord => ({
  kind: 'change',
  id: `change-${index}-${base}`,
  author: 'operator@example.org',
  at: 1_700_000_000_000,
  changes: [
    {
      key: `organisations/organisation-${index}`,
      base,
      value: { keyHashes: [keyHash(index, base)] },
    },
  ],
});

const replayAll = (aggregate: IntentAggregate, organisations: number): void => {
  for (let index = 0; index < organisations; index += 1) {
    aggregate.replay(index, changeOf(index, -1));
  }
};

const measure = async (organisations: number) => {
  const before = await bytesInUse();
  const cpu = cpuMicros();
  const aggregate = createIntentAggregate();
  replayAll(aggregate, organisations);
  const replayMicros = cpuMicros() - cpu;
  aggregate.view();
  const memoryBytes = (await bytesInUse()) - before;

  // The n-th timed change is made to the n-th organisation, whose version is its first offset.
  const changes = Array.from({ length: CHANGES_TIMED * 5 }, (_, index) => changeOf(index, index));
  const changeMicros = microsPerCall(CHANGES_TIMED, (index) => {
    aggregate.replay(organisations + index, changes[index]);
    aggregate.view();
  });

  const snapshot = aggregate.snapshot();
  const value = { handover: { kind: 'snapshot', snapshot, through: snapshot.asOf } };
  return {
    replayMicros,
    memoryBytes,
    changeMicros,
    checkpointBytes: JSON.stringify(snapshot).length,
    handoverFrameBytes: encodeFrame({ t: 'reply', seq: 1, ok: true, value }).length,
  };
};

/** Bytes of one change, as the log returns it and as a peer passes it on. */
const changeBytes = (count: number) => {
  const records = Array.from({ length: count }, (_, index) => ({
    offset: index,
    value: changeOf(index, -1),
  }));
  const fromLog = records.map(({ offset, value }) => ({
    topic: 'plantaindrum.intent',
    partition: 0,
    offset,
    key: null,
    value,
  }));
  const value = { handover: { kind: 'records', records, through: count - 1 }, offset: count - 1 };
  return {
    logBytes: JSON.stringify(fromLog).length,
    peerBytes: encodeFrame({ t: 'reply', seq: 1, ok: true, value }).length,
  };
};

/** Lines over the number of organisations, and over the number of changes passed on. */
export const intentLines = async (
  sizes: number[],
  changeCounts: number[],
): Promise<Record<string, Line>> => {
  const found = await atSizes(sizes, measure);
  const line = (unit: string, key: keyof Omit<(typeof found)[number], 'n'>): Line =>
    fitLine(
      'organisations',
      unit,
      found.map((point) => ({ n: point.n, y: point[key] })),
    );
  const bytes = changeCounts.map((n) => ({ n, ...changeBytes(n) }));
  return {
    'intent-replay-cpu': line('us to replay a log with one record each', 'replayMicros'),
    'intent-memory': line('bytes', 'memoryBytes'),
    'intent-change-cpu': line('us for one further change', 'changeMicros'),
    'intent-checkpoint-bytes': line('bytes of JSON', 'checkpointBytes'),
    'intent-handover-bytes': line('bytes of one frame', 'handoverFrameBytes'),
    'intent-change-bytes-from-log': fitLine(
      'changes',
      'bytes of JSON',
      bytes.map(({ n, logBytes }) => ({ n, y: logBytes })),
    ),
    'intent-change-bytes-from-peer': fitLine(
      'changes',
      'bytes of one frame',
      bytes.map(({ n, peerBytes }) => ({ n, y: peerBytes })),
    ),
  };
};
