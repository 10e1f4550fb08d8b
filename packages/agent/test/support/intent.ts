import { createMetrics, silentLogger, systemClock } from '@plantaindrum/common';
import type { IntentKey } from '@plantaindrum/intent';
import { createIntentReader } from '@plantaindrum/intent';
import { createLogClient } from '@plantaindrum/service-clients';

/** Declares one new key of the operators' intent, and waits until it is accepted. */
export const declare = async (logUrl: string, key: IntentKey, value: unknown): Promise<void> => {
  const log = createLogClient({ url: logUrl, client: 'operator' });
  const intent = createIntentReader({
    ...{ log, clock: systemClock, random: () => 0, metrics: createMetrics() },
    logger: silentLogger,
  });
  const changes = [{ key, base: -1, value }];
  const answer = await intent.submit({ id: `declare ${key}`, author: 'test', changes });
  await intent.close();
  await log.close();
  if (answer.outcome !== 'accepted') throw new Error(JSON.stringify(answer));
};

/** Asks an agent's operators' door until it holds the intent up to this offset. */
export const untilIntentAt = async (operators: string, offset: number): Promise<void> => {
  const headers = { authorization: 'Bearer operators-token' };
  for (;;) {
    const res = await fetch(`${operators}/intent`, { headers });
    if (((await res.json()) as { offset: number }).offset >= offset) return;
  }
};
