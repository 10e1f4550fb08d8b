import { expect } from 'chai';
import { createManualClock, createMetrics } from '@plantaindrum/common';
import type { ManualClock, Metrics } from '@plantaindrum/common';
import { createMembership, dialDelayMs } from '../src/index.js';
import type { ListedVm, Membership } from '../src/index.js';

describe('membership', () => {
  let clock: ManualClock;
  let metrics: Metrics;
  let membership: Membership<ListedVm>;

  const vm = (name: string, state: ListedVm['state'] = 'live'): ListedVm => ({
    name,
    address: `${name}:1`,
    state,
  });

  beforeEach(() => {
    clock = createManualClock();
    metrics = createMetrics();
    membership = createMembership({ clock, metrics });
    membership.listed([vm('a'), vm('b'), vm('c')]);
    ['a', 'b', 'c'].forEach((name) => membership.linked(name, `${name}1`));
  });

  // The agent announces that it leaves; the list shows it as live for another while. The entry must
  // send nothing new from the announcement on, and a process that replaces it starts afresh.
  it('believes the announcement of a leaving VM before the list', () => {
    membership.announcedLeaving('a', 'a1');
    membership.listed([vm('a'), vm('b'), vm('c')]);
    expect(membership.standing('a')).to.equal('leaving');
    membership.unlinked('a', 'a1');
    membership.linked('a', 'a2');
    expect(membership.standing('a')).to.equal('usable');
  });

  it('ignores what an ended link still says of an instance', () => {
    membership.unlinked('a', 'a1');
    membership.linked('a', 'a2');
    membership.announcedLeaving('a', 'a1');
    membership.unlinked('a', 'a1');
    expect(membership.standing('a')).to.equal('usable');
  });

  it('believes the list where it says that a VM leaves', () => {
    membership.listed([vm('a', 'leaving'), vm('b'), vm('c')]);
    expect(membership.standing('a')).to.equal('leaving');
  });

  // A VM dies without a word and the list shows it for a minute. No link, no work; it is dialled on,
  // since the list may be right and the network at fault.
  it('gives nothing to a dead VM that the list still shows', () => {
    membership.unlinked('a', 'a1');
    membership.listed([vm('a'), vm('b'), vm('c')]);
    expect(membership.standing('a')).to.equal('unlinked');
    expect(membership.shouldDial('a')).to.equal(true);
  });

  // The list drops a VM whose link is up: a hiccup of one reading, or the first sign of its end.
  it('stops new work for a VM that the list forgot, after two readings', async () => {
    membership.listed([vm('b'), vm('c')]);
    expect(membership.standing('a')).to.equal('usable');
    await clock.advance(1_500);
    expect(membership.standing('a')).to.equal('forgotten');
    expect(membership.shouldDial('a')).to.equal(false);
    membership.listed([vm('a'), vm('b'), vm('c')]);
    expect(membership.standing('a')).to.equal('usable');
    membership.listed([vm('b'), vm('c')]);
    membership.unlinked('a', 'a1');
    expect(membership.standing('a')).to.equal(undefined);
  });

  // The platform's list comes back empty after a fault of its own, while all VMs answer. Believing
  // it would refuse every request of every caller.
  it('does not believe a list that lost most VMs at once', async () => {
    membership.listed([]);
    await clock.advance(60_000);
    expect(membership.members().map(({ standing }) => standing)).to.deep.equal(
      Array.from({ length: 3 }, () => 'usable'),
    );
    expect(metrics.counter('vm_list_not_believed')).to.equal(1);
  });

  it('starts afresh with a VM of the same name at another address', () => {
    membership.listed([{ ...vm('a'), address: 'a:2' }, vm('b'), vm('c')]);
    expect(membership.standing('a')).to.equal('unlinked');
  });

  it('spreads dials over the time that a peer needs to take them in', () => {
    const delay = (dialers: number, drawn: number) =>
      dialDelayMs({ dialers, acceptsPerSecond: 200, random: () => drawn });
    expect([delay(1, 0.9), delay(100, 0.5), delay(430, 1), delay(1e6, 1)]).to.deep.equal([
      0, 250, 2_150, 10_000,
    ]);
  });
});
