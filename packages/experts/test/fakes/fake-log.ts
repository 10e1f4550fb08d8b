import { fail, ok } from '@plantaindrum/common';
import type { Log, LogFailure } from '@plantaindrum/service-clients';

const failure = (kind: LogFailure['kind']) => fail<LogFailure>({ kind, retryAfterMs: 10 });

export const createFakeLog = () => {
  const records: unknown[] = [];
  const faults = { isDown: false, loseAnswers: 0, loseAppends: 0, beginning: 0 };
  const log: Log = {
    append: async (_topic, _partition, values) => {
      if (faults.isDown) return failure('unavailable');
      if (faults.loseAppends > 0) {
        faults.loseAppends -= 1;
        return failure('unknown');
      }
      const first = records.length;
      records.push(...structuredClone(values));
      if (faults.loseAnswers > 0) {
        faults.loseAnswers -= 1;
        return failure('unknown');
      }
      return ok(values.map((_, at) => first + at));
    },
    read: async (_topic, _partition, offset) => {
      if (faults.isDown) return failure('unavailable');
      return ok(records.slice(offset).map((value, at) => ({ offset: offset + at, value })));
    },
    offsets: async () => {
      if (faults.isDown) return failure('unavailable');
      return ok({ beginning: faults.beginning, end: records.length });
    },
  };
  return { log, faults, records };
};
