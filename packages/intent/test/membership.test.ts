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
    membership.applyList([vm('a'), vm('b'), vm('c')]);
    ['a', 'b', 'c'].forEach((name) => membership.handleLinked(name, `${name}1`));
  });

  // An agent announces that it is leaving while the list still shows its VM as live. The entry must
  // send it no new work from then on; a process that replaces it is usable again.
  it('prefers the announcement of a leaving VM over the list', () => {
    membership.handleLeaving('a', 'a1');
    membership.applyList([vm('a'), vm('b'), vm('c')]);
    expect(membership.availability('a')).to.equal('leaving');
    membership.handleUnlinked('a', 'a1');
    membership.handleLinked('a', 'a2');
    expect(membership.availability('a')).to.equal('usable');
  });

  it('ignores late events of a closed link', () => {
    membership.handleUnlinked('a', 'a1');
    membership.handleLinked('a', 'a2');
    membership.handleLeaving('a', 'a1');
    membership.handleUnlinked('a', 'a1');
    expect(membership.availability('a')).to.equal('usable');
  });

  it('gives no new work to a VM that the list shows as leaving', () => {
    membership.applyList([vm('a', 'leaving'), vm('b'), vm('c')]);
    expect(membership.availability('a')).to.equal('leaving');
  });

  // A VM ends unannounced and the list shows it for another minute. Without a link it gets no work;
  // it is still dialled, since the fault may be the network's.
  it('gives no work to a dead VM that the list still shows', () => {
    membership.handleUnlinked('a', 'a1');
    membership.applyList([vm('a'), vm('b'), vm('c')]);
    expect(membership.availability('a')).to.equal('unlinked');
    expect(membership.shouldDial('a')).to.equal(true);
  });

  // The list drops a VM whose link is up: either a fault of one list, or the VM is about to stop.
  it('gives no new work to a VM that two lists in a row have dropped', async () => {
    membership.applyList([vm('b'), vm('c')]);
    expect(membership.availability('a')).to.equal('usable');
    await clock.advance(1_500);
    expect(membership.availability('a')).to.equal('forgotten');
    expect(membership.shouldDial('a')).to.equal(false);
    membership.applyList([vm('a'), vm('b'), vm('c')]);
    expect(membership.availability('a')).to.equal('usable');
    membership.applyList([vm('b'), vm('c')]);
    membership.handleUnlinked('a', 'a1');
    expect(membership.availability('a')).to.equal(undefined);
  });

  // After a fault of the platform its list is empty while all VMs answer. Applying it would make
  // entries reject every request.
  it('ignores the removals of a list that dropped most VMs at once', async () => {
    membership.applyList([]);
    await clock.advance(60_000);
    expect(membership.members().map(({ availability }) => availability)).to.deep.equal(
      Array.from({ length: 3 }, () => 'usable'),
    );
    expect(metrics.counter('vm_list_not_believed')).to.equal(1);
  });

  it('treats a VM of the same name at another address as a new one', () => {
    membership.applyList([{ ...vm('a'), address: 'a:2' }, vm('b'), vm('c')]);
    expect(membership.availability('a')).to.equal('unlinked');
  });

  it('spreads dials over the time that a peer needs to accept them', () => {
    const delay = (dialers: number, drawn: number) =>
      dialDelayMs({ dialers, acceptsPerSecond: 200, random: () => drawn });
    expect([delay(1, 0.9), delay(100, 0.5), delay(430, 1), delay(1e6, 1)]).to.deep.equal([
      0, 250, 2_150, 10_000,
    ]);
  });
});
