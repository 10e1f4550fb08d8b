import { createMetrics, silentLogger, systemClock } from '@plantaindrum/common';
import type { IntentKey } from '@plantaindrum/intent';
import { createIntentReader } from '@plantaindrum/intent';
import { createLogClient } from '@plantaindrum/service-clients';

/** Adds one key to the operators' intent; rejects if it is not accepted. */
export const declareIntent = async (
  logUrl: string,
  key: IntentKey,
  value: unknown,
): Promise<void> => {
  const log = createLogClient({ url: logUrl, client: 'operator' });
  const intent = createIntentReader({
    ...{ log, clock: systemClock, random: () => 0, metrics: createMetrics() },
    logger: silentLogger,
  });
  const changes = [{ key, base: -1, value }];
  const submission = await intent.submit({ id: `declare ${key}`, author: 'test', changes });
  await intent.close();
  await log.close();
  if (submission.outcome !== 'accepted') throw new Error(JSON.stringify(submission));
};

/** Polls an agent's operator server until its intent has reached this offset. */
export const waitForIntentOffset = async (operators: string, offset: number): Promise<void> => {
  const headers = { authorization: 'Bearer operators-token' };
  for (;;) {
    const res = await fetch(`${operators}/intent`, { headers });
    if (((await res.json()) as { offset: number }).offset >= offset) return;
  }
};
