import type { LinkOptions } from '@plantaindrum/link';
import type { NodeRecord } from '@plantaindrum/mirror';

/** Returns the identity that an agent presents on its links. */
export const agentIdentity = (
  { node, instance, dataCentre }: NodeRecord,
  region: string,
): LinkOptions['identity'] => ({ role: 'agent', node, instance, dataCentre, region });
