import { expect } from 'chai';
import { after, afterEach } from 'mocha';
import { call } from '../../src/harness/caller.js';
import type { Forwarder } from '../../src/harness/forwarder.js';
import { smallSite } from '../../src/harness/small-site.js';
import { until } from '../../src/harness/until.js';
import { approvalCall, forwardLinks, countRuns, useSite } from '../support/site.js';

describe('the link between entry and agent is cut', () => {
  const links = forwardLinks();
  const site = useSite(() => ({
    ...smallSite('magyar-vizualis', { replicas: 2 }),
    listedLink: links.listedLink,
  }));
  const forEachForwarder = (action: (forwarder: Forwarder) => void): void =>
    ['pipeline-1', 'pipeline-2'].map(links.forwarder).forEach(action);
  afterEach(() => {
    forEachForwarder((forwarder) => forwarder.set('to-target', 'pass'));
    forEachForwarder((forwarder) => forwarder.set('from-target', 'pass'));
  });
  after(links.close);

  // The agent runs the approval, but the link is cut before its frames reach the entry. The entry
  // reconnects and queries the agent, which still knows the attempt. The caller must get the answer
  // or "unknown", and the service must have run the call once.
  it('after the dispatch: the call runs once and is not called "not run"', async () => {
    forEachForwarder((forwarder) => forwarder.set('from-target', 'hold'));
    const pending = call(approvalCall(site().entry(0).url, 'cut-after'));
    await until(
      'the approval ran',
      async () => (await countRuns(site(), '/approvals/cut-after')) === 1,
    );
    forEachForwarder((forwarder) => forwarder.cut());
    forEachForwarder((forwarder) => forwarder.set('from-target', 'pass'));

    const result = await pending;
    expect(result.outcome).to.be.oneOf(['answered', 'unknown']);
    expect(await countRuns(site(), '/approvals/cut-after')).to.equal(1);
  });

  // The dispatch is lost and the link is cut, so the agent never received the attempt. Queried after
  // the reconnect, it marks the attempt as never to run. This proves "not run", so the entry may send
  // the approval, which must not be repeated, to the other replica.
  it('before the dispatch arrives: "not run" is proved, and the call runs once elsewhere', async () => {
    forEachForwarder((forwarder) => forwarder.set('to-target', 'drop'));
    const pending = call(approvalCall(site().entry(0).url, 'cut-before'));
    const chosen = await until('the entry has sent the approval', async () => {
      const { upstreams } = await site().entry(0).operators.status();
      return upstreams.find((line) => line.outstanding === 1);
    });
    forEachForwarder((forwarder) => forwarder.set('to-target', 'pass'));
    links.forwarder(chosen.name).cut();

    expect((await pending).outcome).to.equal('answered');
    expect(await countRuns(site(), '/approvals/cut-before')).to.equal(1);
  });
});
