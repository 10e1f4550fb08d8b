import { createAsyncQueue } from '../../core/attempts/async-queue.js';

const SIGNALS: NodeJS.Signals[] = ['SIGINT', 'SIGTERM'];

/**
 * Handles the termination signals; each call of the returned function resolves with the next one.
 * The handlers stay installed: a signal that arrived while none was installed would end the process
 * by the default action, without the exit code of an early end.
 */
export const captureSignals = (): (() => Promise<NodeJS.Signals>) => {
  const signals = createAsyncQueue<NodeJS.Signals>();
  SIGNALS.forEach((name) => process.on(name, () => signals.push(name)));
  return signals.next;
};
