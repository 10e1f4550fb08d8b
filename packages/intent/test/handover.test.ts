import { expect } from 'chai';
import { joinIntentToLinks } from '../src/index.js';
import type { IntentChange, IntentKey, IntentLink } from '../src/index.js';
import type { Fleet, TestNode } from './support/nodes.js';
import { changeClass, createFleet, submitAt } from './support/nodes.js';

const FRAME_BYTES = 2_097_152;
const ORGANISATIONS = 11_000;
const CHANGES_A_RECORD = 1_000;

describe('handover of a large intent between nodes', () => {
  let fleet: Fleet;
  let a: TestNode;
  let largest = 0;

  const organisation = (index: number): IntentChange => ({
    key: `organisations/organisation-number-${index}` as IntentKey,
    base: -1,
    value: { keyHashes: ['0123456789abcdef'.repeat(4)] },
  });

  /** A link that ends, as a real one does, when a frame is too large. */
  const linkTo = (node: TestNode): IntentLink => {
    const { handlers } = joinIntentToLinks(node.node);
    return {
      peer: { node: node.name },
      closed: new Promise(() => {}),
      call: async (method, args) => {
        const value = await handlers[method]?.(args);
        const bytes = JSON.stringify(value).length;
        largest = Math.max(largest, bytes);
        return bytes > FRAME_BYTES ? { outcome: 'lost' } : { outcome: 'answered', value };
      },
    };
  };

  beforeEach(async () => {
    fleet = createFleet();
    a = fleet.start('a', { limits: { historyLimit: 4 } });
    await fleet.run(10);
    for (let from = 0; from < ORGANISATIONS; from += CHANGES_A_RECORD) {
      const changes = Array.from({ length: CHANGES_A_RECORD }, (_, at) => organisation(from + at));
      await submitAt(fleet, a, `from-${from}`, ...changes);
    }
    fleet.log.faults.down = true;
    largest = 0;
  });

  afterEach(() => fleet.closeAll());

  // The log is down and a node starts at the size of the plan. The whole state is larger than a
  // frame: sent at once it would end the link, again and again, and the node would never be ready.
  it('goes in parts that fit in a frame', async () => {
    const b = fleet.start('b');
    joinIntentToLinks(b.node).onLink(linkTo(a));
    await fleet.run(5_000);
    expect(b.node.freshness().caughtUp).to.equal(true);
    expect(b.node.current()).to.deep.equal(a.node.current());
    expect(largest).to.be.lessThan(FRAME_BYTES / 2);
  });

  // The peer's state moves on while its parts are fetched. Parts of two states put together would
  // be a document that never was, in force at this node until the next change.
  it('starts again when the state has moved on between two parts', async () => {
    const b = fleet.start('b');
    const sizes = new Set<number>();
    b.node.onChange(({ document }) => sizes.add(Object.keys(document.organisations).length));
    const link = linkTo(a);
    const { call } = link;
    let calls = 0;
    link.call = async (...args) => {
      calls += 1;
      if (calls === 2) {
        fleet.log.faults.down = false;
        const moves = Array.from({ length: 8 }, (_, at) =>
          submitAt(fleet, a, `move-${at}`, changeClass(`moved-${at}`, -1, 100)),
        );
        await Promise.all(moves);
        fleet.log.faults.down = true;
      }
      return call(...args);
    };
    b.faults.down = true;
    joinIntentToLinks(b.node).onLink(link);
    await fleet.run(10_000);
    expect([...sizes]).to.deep.equal([ORGANISATIONS]);
    expect(b.node.current()).to.deep.equal(a.node.current());
  });
});
