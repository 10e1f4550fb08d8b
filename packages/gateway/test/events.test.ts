import { expect } from 'chai';
import fc from 'fast-check';
import { createEventSplitter } from '../src/streams/events.js';

const split = (chunks: readonly Buffer[]) => {
  const splitter = createEventSplitter();
  const events = chunks.flatMap((chunk) => splitter.push(chunk));
  return { events, pending: splitter.pending() };
};

const splitAt = (bytes: Buffer, cuts: readonly number[]): Buffer[] => {
  const sorted = [...new Set(cuts.map((cut) => cut % (bytes.length + 1)))].sort((a, b) => a - b);
  const ends = [...sorted, bytes.length];
  return ends.map((end, at) => bytes.subarray(ends[at - 1] ?? 0, end));
};

describe('event splitter', () => {
  it('reads ids and keeps the bytes unchanged', () => {
    const text = 'id: 7\ndata: a\n\ndata: b\r\n\r\nid:8\ndata: cut';
    const { events, pending } = split([Buffer.from(text)]);
    expect(events.map(({ id, bytes }) => [id, bytes.toString()])).to.deep.equal([
      [7, 'id: 7\ndata: a\n\n'],
      [undefined, 'data: b\r\n\r\n'],
    ]);
    expect(pending).to.equal('id:8\ndata: cut'.length);
  });

  // The network may split a stream anywhere: the events must be the same, and an incomplete event must not be
  // returned.
  it('finds the same events however the bytes are split', () => {
    const line = fc.stringMatching(/^[a-z:0-9 ]{0,12}$/);
    const event = fc
      .tuple(fc.nat(99), fc.array(line, { maxLength: 3 }))
      .map(([id, lines]) => `id: ${id}\n${lines.filter((l) => l !== '').join('\n')}\n\n`);
    fc.assert(
      fc.property(fc.array(event), fc.string(), fc.array(fc.nat()), (events, rest, cuts) => {
        const bytes = Buffer.from(events.join('') + rest);
        const expected = split([bytes]);
        const pieces = split(splitAt(bytes, cuts));
        expect(pieces).to.deep.equal(expected);
        const returned = Buffer.concat(expected.events.map((found) => found.bytes));
        expect(returned.length + expected.pending).to.equal(bytes.length);
      }),
      { seed: 5, numRuns: 300 },
    );
  });
});
