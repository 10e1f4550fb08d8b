import { expect } from 'chai';
import { createManualClock, createMetrics, ok, silentLogger } from '@plantaindrum/common';
import type { ManualClock, Metrics } from '@plantaindrum/common';
import type { Link, LinkCloseReason } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/service-clients';
import type { UpstreamDirectory } from '../src/core/upstreams/directory.js';
import { createUpstreamDirectory } from '../src/core/upstreams/directory.js';

describe('upstream directory', () => {
  let clock: ManualClock;
  let metrics: Metrics;
  let list: Vm[];
  let directory: UpstreamDirectory;
  let endLink: Map<string, (reason: LinkCloseReason) => void>;

  const vm = (name: string): Vm => ({
    ...{ name, address: '127.0.0.1:1', role: 'upstream', dataCentre: 'kent', region: 'northwest' },
    ...{ state: 'live', kind: 'service', service: 's' },
  });

  const linkTo = (name: string): Link => {
    const closed = new Promise<LinkCloseReason>((resolve) => {
      endLink.set(name, resolve);
    });
    return { peer: { instance: `${name}-1` }, closed, send: () => true } as unknown as Link;
  };

  beforeEach(async () => {
    clock = createManualClock();
    metrics = createMetrics();
    endLink = new Map();
    list = ['a', 'b', 'c'].map(vm);
    directory = createUpstreamDirectory({
      list: { list: async () => ok(list) },
      connect: ({ name }, onLink) => {
        onLink(linkTo(name));
        return { close: async () => {} };
      },
      applyVmList: () => () => true,
      createEventHandlers: () => ({ load: () => {}, leaving: () => {}, linked: () => {} }),
      ...{ clock, metrics, random: () => 0.5, log: silentLogger, intervalMs: 1_000 },
    });
    await directory.refresh();
  });

  const names = (): string[] => directory.upstreams().map((upstream) => upstream.vm().name);

  // After a fault of the platform the VM list is empty, while every agent is still linked. An entry
  // that trusted the list would refuse all requests with "no-upstream".
  it('keeps linked upstreams when the list loses most VMs at once', async () => {
    list = [];
    await directory.refresh();
    await clock.advance(60_000);
    await directory.refresh();
    expect(names()).to.deep.equal(['a', 'b', 'c']);
    expect(metrics.counter('vm_list_not_believed')).to.equal(2);
  });

  it('does no work for a list that has not changed', async () => {
    await directory.refresh();
    expect(metrics.counter('vm_list_unchanged')).to.equal(1);
    list = list.slice(1);
    await directory.refresh();
    await directory.refresh();
    expect(metrics.counter('vm_list_unchanged')).to.equal(1);
    await clock.advance(1_500);
    await directory.refresh();
    expect(names()).to.deep.equal(['b', 'c']);
  });

  it('removes a linked VM only after it has been missing for longer than one read', async () => {
    list = list.slice(1);
    await directory.refresh();
    expect(names()).to.deep.equal(['a', 'b', 'c']);
    await clock.advance(1_500);
    await directory.refresh();
    expect(names()).to.deep.equal(['b', 'c']);
  });

  // All entries see a new data centre in the list at about the same time. They spread their new
  // links
  // over the time that an agent needs to accept so many; a VM removed meanwhile is never connected.
  it('spreads new links over time when there are many entries', async () => {
    const entries = Array.from({ length: 400 }, (_, n): Vm => ({ ...vm(`e${n}`), role: 'entry' }));
    list = [...list, ...entries, vm('d'), vm('e')];
    await directory.refresh();
    await clock.advance(999);
    expect([...endLink.keys()]).to.deep.equal(['a', 'b', 'c']);
    list = list.filter(({ name }) => name !== 'e');
    await directory.refresh();
    await clock.advance(1);
    expect([...endLink.keys()]).to.deep.equal(['a', 'b', 'c', 'd']);
  });

  it('removes a VM at once when its link is closed too', async () => {
    endLink.get('a')?.('closed-by-peer');
    await clock.advance(1);
    list = list.slice(1);
    await directory.refresh();
    expect(names()).to.deep.equal(['b', 'c']);
  });
});
