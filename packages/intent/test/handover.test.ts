import { expect } from 'chai';
import { createIntentLinks } from '../src/index.js';
import type { IntentChange, IntentKey, IntentLink } from '../src/index.js';
import type { Fleet, TestNode } from './support/nodes.js';
import { changeClass, createFleet, submitAt } from './support/nodes.js';

const FRAME_BYTES = 2_097_152;
const ORGANISATIONS = 11_000;
const CHANGES_PER_RECORD = 1_000;

describe('handover of a large intent between nodes', () => {
  let fleet: Fleet;
  let a: TestNode;
  let largestReplyBytes = 0;

  const organisation = (index: number): IntentChange => ({
    key: `organisations/organisation-number-${index}` as IntentKey,
    base: -1,
    value: { keyHashes: ['0123456789abcdef'.repeat(4)] },
  });

  /** A link that closes, as a real one does, when a frame is too large. */
  const linkTo = (node: TestNode): IntentLink => {
    const { handlers } = createIntentLinks(node.node);
    return {
      peer: { node: node.name },
      closed: new Promise(() => {}),
      call: async (method, args) => {
        const value = await handlers[method]?.(args);
        const bytes = JSON.stringify(value).length;
        largestReplyBytes = Math.max(largestReplyBytes, bytes);
        return bytes > FRAME_BYTES ? { outcome: 'lost' } : { outcome: 'answered', value };
      },
    };
  };

  beforeEach(async () => {
    fleet = createFleet();
    a = fleet.start('a', { limits: { historyLimit: 4 } });
    await fleet.run(10);
    for (let from = 0; from < ORGANISATIONS; from += CHANGES_PER_RECORD) {
      const changes = Array.from({ length: CHANGES_PER_RECORD }, (_, at) =>
        organisation(from + at),
      );
      await submitAt(fleet, a, `from-${from}`, ...changes);
    }
    fleet.log.faults.down = true;
    largestReplyBytes = 0;
  });

  afterEach(() => fleet.closeAll());

  // The log is down and a node starts that needs the state of 11,000 organisations. Sent at once the
  // state exceeds the frame limit and would close the link each time, so the node would never be ready.
  it('sends the state in parts that fit in a frame', async () => {
    const b = fleet.start('b');
    createIntentLinks(b.node).onLink(linkTo(a));
    await fleet.run(5_000);
    expect(b.node.freshness().caughtUp).to.equal(true);
    expect(b.node.current()).to.deep.equal(a.node.current());
    expect(largestReplyBytes).to.be.lessThan(FRAME_BYTES / 2);
  });

  // The peer's state changes while its parts are fetched. Joining parts of two snapshots would give
  // a document that never existed, which this node would apply until the next change.
  it('starts over when the state has changed between two parts', async () => {
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
    createIntentLinks(b.node).onLink(link);
    await fleet.run(10_000);
    expect([...sizes]).to.deep.equal([ORGANISATIONS]);
    expect(b.node.current()).to.deep.equal(a.node.current());
  });
});
