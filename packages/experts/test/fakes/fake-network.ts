import type { Clock } from '@plantaindrum/common';
import type { ExpertMethod, PeerOutcome } from '../../src/index.js';
import type { FakeProcess } from './fake-process.js';

/** One message in flight: the request of a call, or its answer. */
export interface Message {
  kind: 'request' | 'answer';
  from: string;
  to: string;
  method: ExpertMethod;
}

/** Delay of each copy that arrives, in milliseconds; empty for a lost message. */
export type Delivery = readonly number[];

/** A node of the network. */
export interface FakeNode {
  process: FakeProcess;
  serve(method: ExpertMethod, args: unknown): Promise<unknown>;
}

const DELAY_MS = 1;

export const createFakeNetwork = (clock: Clock) => {
  const nodes = new Map<string, FakeNode>();
  let deliveryOf: (message: Message) => Delivery | undefined = () => undefined;

  const deliver = (message: Message, fn: () => void): void => {
    const delays = deliveryOf(message) ?? [DELAY_MS];
    delays.forEach((ms) => clock.after(ms, fn));
  };

  const call = (
    from: string,
    to: string,
    method: ExpertMethod,
    args: unknown,
    timeoutMs: number,
  ): Promise<PeerOutcome> =>
    new Promise((resolve) => {
      clock.after(timeoutMs, () => resolve({ outcome: 'lost' }));
      const answer = (value: unknown): void =>
        deliver({ kind: 'answer', from: to, to: from, method }, () =>
          resolve({ outcome: 'answered', value }),
        );
      const arrive = (): void => {
        const node = nodes.get(to);
        node?.process.whenAwake(() => {
          void node.process.gate(node.serve(method, structuredClone(args))).then(answer);
        });
      };
      deliver({ kind: 'request', from, to, method }, arrive);
    });

  return {
    call,
    join: (name: string, node: FakeNode) => nodes.set(name, node),
    /** Sets how messages are delivered from now on; undefined for the normal delay. */
    setDeliveries: (deliveries: (message: Message) => Delivery | undefined) => {
      deliveryOf = deliveries;
    },
  };
};
