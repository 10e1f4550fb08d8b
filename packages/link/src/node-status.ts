/** Name of the call that queries a node's requests in flight. */
export const NODE_STATUS = 'node.status';

/** Answer to `node.status`. */
export interface NodeStatus {
  /** Requests in flight: at an entry those not answered yet, at an agent those queued or running. */
  inFlight: number;
  /** Offset of the intent that the node has applied. */
  intent: { offset: number };
  /** At agents of an expert group: the status of the group as this member knows it. */
  group?: unknown;
}
