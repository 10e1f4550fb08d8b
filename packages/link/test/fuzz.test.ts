import fc from 'fast-check';
import { expect } from 'chai';
import type { Frame } from '../src/index.js';
import {
  createFrameSplitter,
  decodeFrame,
  decodeHello,
  encodeFrame,
  addLengthPrefix,
} from '../src/index.js';

const SEED = 5770;
const LIMIT = 4_096;

const id = fc.tuple(fc.stringMatching(/^[0-9a-f]{1,16}$/), fc.nat()).map(([a, b]) => `${a}:${b}`);
const bytes = fc.uint8Array({ maxLength: 512 }).map((data) => Buffer.from(data));

const anyFrame = fc.oneof(
  fc.record({ t: fc.constant('cancel'), id }),
  fc.record({ t: fc.constant('query'), id, headReceived: fc.boolean(), received: fc.nat() }),
  fc.record({ t: fc.constant('chunk'), id, offset: fc.nat(), data: bytes }),
  fc.record({ t: fc.constant('credit'), id, bytes: fc.nat() }),
  fc.record({ t: fc.constant('ping'), seq: fc.nat(), intentOffset: fc.integer({ min: -1 }) }),
  fc.record({ t: fc.constant('call'), seq: fc.nat(), method: fc.string(), args: fc.anything() }),
) as unknown as fc.Arbitrary<Frame>;

/** Splits bytes into pieces, as TCP may deliver them. */
const splitAt = (whole: Buffer, sizes: number[]): Buffer[] => {
  const pieces: Buffer[] = [];
  let at = 0;
  for (const size of sizes) {
    pieces.push(whole.subarray(at, at + size));
    at += size;
  }
  return [...pieces, whole.subarray(at)].filter((piece) => piece.length > 0);
};

const payloadsOf = (pieces: Buffer[]): Buffer[] => {
  const splitter = createFrameSplitter(1_000_000);
  return pieces.flatMap((piece) => {
    const split = splitter.push(piece);
    return split.ok ? split.value : [];
  });
};

describe('frames', () => {
  it('are decoded as they were encoded, however TCP splits them', () => {
    const property = fc.property(
      fc.array(anyFrame, { minLength: 1, maxLength: 8 }),
      fc.array(fc.integer({ min: 1, max: 40 }), { maxLength: 60 }),
      (frames, sizes) => {
        const encoded = frames.map(encodeFrame);
        const whole = payloadsOf([Buffer.concat(encoded)]);
        const inPieces = payloadsOf(splitAt(Buffer.concat(encoded), sizes));
        expect(inPieces.map(String)).to.deep.equal(whole.map(String));
        expect(inPieces.map((payload) => decodeFrame(payload).ok)).to.not.include(false);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  // A peer may send any bytes. An exception would end the whole process, so faults are returned as
  // values, which close this one link.
  it('that are malformed give error values, never exceptions', () => {
    const property = fc.property(fc.uint8Array({ maxLength: 256 }), (noise) => {
      const payload = Buffer.from(noise);
      decodeFrame(payload);
      decodeHello(payload);
      const split = createFrameSplitter(LIMIT).push(payload);
      expect(split.ok || ['frame-too-large', 'malformed-frame'].includes(split.err)).to.equal(true);
    });
    fc.assert(property, { seed: SEED, numRuns: 2_000 });
  });

  it('with one changed byte are rejected or still are valid frames', () => {
    const property = fc.property(anyFrame, fc.nat(), fc.nat({ max: 255 }), (frame, at, value) => {
      const payload = encodeFrame(frame).subarray(4);
      payload[at % payload.length] = value;
      const decoded = decodeFrame(payload);
      if (!decoded.ok) return;
      expect(decodeFrame(encodeFrame(decoded.value).subarray(4)).ok).to.equal(true);
    });
    fc.assert(property, { seed: SEED, numRuns: 1_000 });
  });

  // A length field of gigabytes must not make this process wait for that many bytes or allocate them.
  it('above the limit are rejected by their header alone', () => {
    const header = addLengthPrefix(Buffer.alloc(LIMIT + 1)).subarray(0, 4);
    expect(createFrameSplitter(LIMIT).push(header)).to.deep.equal({
      ok: false,
      err: 'frame-too-large',
    });
  });
});
