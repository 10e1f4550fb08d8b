import { createAsyncQueue } from '../../core/attempts/async-queue.js';

const SIGNALS: NodeJS.Signals[] = ['SIGINT', 'SIGTERM'];

/**
 * Takes over the signals that ask this process to end; each call of the result resolves with the
 * next one. The handlers stay: a second signal that came between two handlers would otherwise end
 * the process by the system's default, without its exit code.
 */
export const captureSignals = (): (() => Promise<NodeJS.Signals>) => {
  const signals = createAsyncQueue<NodeJS.Signals>();
  SIGNALS.forEach((name) => process.on(name, () => signals.push(name)));
  return signals.next;
};
