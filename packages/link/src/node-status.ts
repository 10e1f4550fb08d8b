/** The call by which a node asks another what it has in flight. */
export const NODE_STATUS = 'node.status';

/** Answer to `node.status`. */
export interface NodeStatus {
  /** Requests that the node holds: at an entry those not answered, at an agent those queued or running. */
  inFlight: number;
  /** The intent that the node follows. */
  intent: { offset: number };
  /** Agents of an expert group: what this member and its coordinator task know. */
  group?: unknown;
}
