import type { Frame, Hello } from '@plantaindrum/link';
import {
  createFrameSplitter,
  decodeFrame,
  decodeHello,
  defaultLinkLimits,
} from '@plantaindrum/link';
import type { ForwardDirection, ForwardTap } from './forwarder.js';

/** A frame that passed a link, and which way. */
export interface RecordedFrame {
  /** The agent at the link's far end. */
  agent: string;
  direction: ForwardDirection;
  connection: number;
  frame: Frame | Hello;
}

/** Decodes what passes a forwarded link. */
export interface LinkRecorder {
  /** The tap for the forwarder before an agent. */
  tap(agent: string): ForwardTap;
  /** Frames so far, in the order in which they passed. */
  readonly frames: RecordedFrame[];
}

/** Creates a recorder; a frame that can't be decoded fails the run. */
export const createLinkRecorder = (): LinkRecorder => {
  const frames: RecordedFrame[] = [];
  const streams = new Map<string, ReturnType<typeof createStream>>();

  function createStream(agent: string, direction: ForwardDirection, connection: number) {
    const splitter = createFrameSplitter(defaultLinkLimits.frameBytes);
    let greeted = false;
    const decode = (payload: Buffer): void => {
      const frame = greeted ? decodeFrame(payload) : decodeHello(payload);
      if (!frame.ok) throw new Error(`a recorded link carries a ${frame.err}`);
      greeted = true;
      frames.push({ agent, direction, connection, frame: frame.value });
    };
    return (data: Buffer): void => {
      const payloads = splitter.push(data);
      if (!payloads.ok) throw new Error(`a recorded link carries a ${payloads.err}`);
      payloads.value.forEach(decode);
    };
  }

  return {
    frames,
    tap: (agent) => (direction, data, connection) => {
      const name = `${agent} ${direction} ${connection}`;
      const stream = streams.get(name) ?? createStream(agent, direction, connection);
      streams.set(name, stream);
      stream(data);
    },
  };
};
