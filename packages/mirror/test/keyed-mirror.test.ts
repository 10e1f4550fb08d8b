import { expect } from 'chai';
import fc from 'fast-check';
import { createKeyedMirror } from '../src/index.js';
import type { KeyedChange, KeyedMirror, KeyedRecord } from '../src/index.js';

const bytes = (text: string): Uint8Array => Buffer.from(text);
const text = (value: Uint8Array | undefined): string | undefined =>
  value && Buffer.from(value).toString();

const record = (key: string, offset: number, value?: string): KeyedRecord => ({
  key,
  offset,
  value: value === undefined ? undefined : bytes(value),
});

const held = (mirror: KeyedMirror): Record<string, string | undefined> =>
  Object.fromEntries(mirror.items().map(({ key, value }) => [key, text(value)]));

const create = () => {
  const changes: string[] = [];
  const mirror = createKeyedMirror(({ key, value }: KeyedChange) => {
    changes.push(`${key}=${text(value) ?? 'gone'}`);
  });
  return { mirror, changes };
};

describe('keyed mirror', () => {
  it('holds the newest value of each key and drops keys without one', () => {
    const { mirror, changes } = create();
    mirror.apply([record('a', 0, '1'), record('b', 1, '2'), record('a', 2, '3')], 3);
    mirror.apply([record('b', 3)], 4);
    expect(held(mirror)).to.deep.equal({ a: '3' });
    expect(changes).to.deep.equal(['a=1', 'b=2', 'a=3', 'b=gone']);
    expect(mirror.end()).to.equal(4);
  });

  // Callers would be sent to upstreams that have left. The store answers with a picture from
  // seconds ago; it ends before what this mirror has seen, so nothing of it is taken.
  it('leaves out a whole picture that is older than itself', () => {
    const { mirror, changes } = create();
    mirror.apply([record('a', 0, 'old'), record('a', 1, 'new')], 2);
    changes.length = 0;
    mirror.replace([{ key: 'a', offset: 0, value: bytes('old') }], 1);
    expect(held(mirror)).to.deep.equal({ a: 'new' });
    expect(changes).to.deep.equal([]);
  });

  // Pages of the newest values are read one after the other, so a key written in between may stand
  // in a later page with an offset beyond the picture's end. It must not be taken for gone.
  it('keeps a key that is newer than the picture that lacks it', () => {
    const { mirror } = create();
    mirror.apply([record('a', 0, '1'), record('b', 5, '2')], 4);
    mirror.replace([{ key: 'a', offset: 0, value: bytes('1') }], 5);
    expect(held(mirror)).to.deep.equal({ a: '1', b: '2' });
  });

  it('drops a key that a newer picture lacks', () => {
    const { mirror, changes } = create();
    mirror.apply([record('a', 0, '1'), record('b', 1, '2')], 2);
    mirror.replace([{ key: 'a', offset: 0, value: bytes('1') }], 9);
    expect(held(mirror)).to.deep.equal({ a: '1' });
    expect(changes.at(-1)).to.equal('b=gone');
  });

  it('tells a peer what it misses, dropped keys too', () => {
    const { mirror } = create();
    mirror.apply([record('a', 0, '1'), record('b', 1, '2'), record('a', 2)], 3);
    const { mirror: peer } = create();
    peer.apply([record('a', 0, '1')], 1);
    peer.apply(mirror.changesAfter(peer.end()), mirror.end());
    expect(held(peer)).to.deep.equal({ b: '2' });
    expect(peer.end()).to.equal(3);
  });

  // Whatever way records reach a mirror, in batches, twice, or from peers that lag, it ends as the
  // log says, and no key ever goes back to an older record.
  it('ends with the newest record of each key in any order of batches', () => {
    const keys = fc.constantFrom('a', 'b', 'c');
    const log = fc.array(
      fc.tuple(keys, fc.option(fc.string({ minLength: 1 }), { nil: undefined })),
    );
    fc.assert(
      fc.property(log, fc.array(fc.nat(), { maxLength: 12 }), (entries, cuts) => {
        const records = entries.map(([key, value], offset) => record(key, offset, value));
        const { mirror } = create();
        cuts.forEach((cut) => {
          const from = records.length === 0 ? 0 : cut % records.length;
          mirror.apply(records.slice(from, from + 3), 0);
        });
        mirror.apply(records, records.length);
        const expected = new Map<string, string | undefined>();
        entries.forEach(([key, value]) => {
          if (value === undefined) expected.delete(key);
          else expected.set(key, text(bytes(value)));
        });
        expect(held(mirror)).to.deep.equal(Object.fromEntries(expected));
      }),
      { seed: 11, numRuns: 300 },
    );
  });

  // The log was restored from an older copy: what it lacks has not been dropped, its writers write it again.
  it('keeps what a restored log lacks until it is told that nobody wrote it again', () => {
    const { mirror, changes } = create();
    mirror.apply([record('a', 0, '1'), record('b', 1, '2'), record('c', 2, '3')], 3);
    mirror.replace([{ key: 'a', offset: 0, value: bytes('1') }], 1, 1);
    expect(held(mirror)).to.deep.equal({ a: '1', b: '2', c: '3' });
    mirror.apply([record('b', 1, '2')], 2, 1);
    expect(mirror.unconfirmed()).to.deep.equal(['c']);
    mirror.dropUnconfirmed();
    expect(held(mirror)).to.deep.equal({ a: '1', b: '2' });
    expect(changes.at(-1)).to.equal('c=gone');
  });

  it('leaves out records and pictures of an earlier generation', () => {
    const { mirror } = create();
    mirror.replace([{ key: 'a', offset: 0, value: bytes('1') }], 1, 1);
    mirror.apply([record('a', 7, 'old')], 8, 0);
    expect(mirror.replace([{ key: 'a', offset: 9, value: bytes('old') }], 10, 0)).to.equal(false);
    expect(held(mirror)).to.deep.equal({ a: '1' });
  });

  // A restored log hands an older version of a value out; a node that starts then learns the newer one from a peer.
  it('holds and passes on the newer value where the content tells', () => {
    const isNewer = (value: Uint8Array, than: Uint8Array): boolean =>
      Number(text(value)) > Number(text(than));
    const mirror = createKeyedMirror(() => {}, { isNewer });
    mirror.apply([record('a', 3, '6')], 4);
    mirror.replace([{ key: 'a', offset: 1, value: bytes('2') }], 2, 1);
    expect(held(mirror)).to.deep.equal({ a: '6' });
    const late = createKeyedMirror(() => {}, { isNewer });
    late.replace([{ key: 'a', offset: 1, value: bytes('2') }], 2, 1);
    late.apply(mirror.changesAfter(-1), mirror.end(), 1);
    expect(held(late)).to.deep.equal({ a: '6' });
  });
});
