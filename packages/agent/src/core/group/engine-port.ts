import type { EnginePort, EngineState, OrderOutcome } from '@plantaindrum/experts';
import type { EngineOrderClient, PlatformFailure } from '@plantaindrum/service-clients';

/** Only an answer of the engine proves that an order had no effect; after any other failure it may have had one. */
const failedOrderOutcome = (failure: PlatformFailure): OrderOutcome =>
  failure.kind === 'rejected'
    ? { outcome: 'refused', reason: failure.detail }
    : { outcome: 'lost' };

const isEngineState = (value: unknown): value is EngineState => {
  const state = value as Partial<EngineState> | null;
  return Array.isArray(state?.ranks) && typeof state.fence === 'number';
};

/** Adapts the client of the engine beside this agent to the interface of the group member. */
export const createEnginePort = (client: EngineOrderClient): EnginePort => ({
  order: async (name, body) => {
    const sent = await client.order(name, body as { fence: number } & Record<string, unknown>);
    if (!sent.ok) return failedOrderOutcome(sent.err);
    return sent.value.outcome === 'done' ? { outcome: 'done' } : sent.value;
  },
  state: async () => {
    const sent = await client.group();
    return sent.ok && isEngineState(sent.value) ? sent.value : undefined;
  },
});
