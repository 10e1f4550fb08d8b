import type { LinkOptions } from '@plantaindrum/link';
import type { NodeRecord } from '@plantaindrum/mirror';

/** How an agent introduces itself on links. */
export const agentIdentity = (
  { node, instance, dataCentre }: NodeRecord,
  region: string,
): LinkOptions['identity'] => ({ role: 'agent', node, instance, dataCentre, region });
