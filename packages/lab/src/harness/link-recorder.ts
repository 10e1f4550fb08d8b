import type { Frame, Hello } from '@plantaindrum/link';
import {
  createFrameSplitter,
  decodeFrame,
  decodeHello,
  defaultLinkLimits,
} from '@plantaindrum/link';
import type { ForwardDirection, ForwardTap } from './forwarder.js';

/** A frame that was sent on a link, with its direction. */
export interface RecordedFrame {
  /** The agent at the link's far end. */
  agent: string;
  direction: ForwardDirection;
  connection: number;
  frame: Frame | Hello;
}

/** Decodes and records the frames of forwarded links. */
export interface LinkRecorder {
  /** Tap for the forwarder in front of an agent. */
  tap(agent: string): ForwardTap;
  /** Frames recorded so far, in the order in which they were forwarded. */
  readonly frames: RecordedFrame[];
}

/** Creates a recorder; it throws on a frame that can't be decoded. */
export const createLinkRecorder = (): LinkRecorder => {
  const frames: RecordedFrame[] = [];
  const decoders = new Map<string, ReturnType<typeof createDecoder>>();

  function createDecoder(agent: string, direction: ForwardDirection, connection: number) {
    const splitter = createFrameSplitter(defaultLinkLimits.frameBytes);
    let helloReceived = false;
    const decode = (payload: Buffer): void => {
      const frame = helloReceived ? decodeFrame(payload) : decodeHello(payload);
      if (!frame.ok) throw new Error(`cannot decode a recorded frame: ${frame.err}`);
      helloReceived = true;
      frames.push({ agent, direction, connection, frame: frame.value });
    };
    return (data: Buffer): void => {
      const payloads = splitter.push(data);
      if (!payloads.ok) throw new Error(`cannot split a recorded link: ${payloads.err}`);
      payloads.value.forEach(decode);
    };
  }

  return {
    frames,
    tap: (agent) => (direction, data, connection) => {
      const name = `${agent} ${direction} ${connection}`;
      const decodeData = decoders.get(name) ?? createDecoder(agent, direction, connection);
      decoders.set(name, decodeData);
      decodeData(data);
    },
  };
};
