/**
 * Who is there and may get new work: the platform's lagging list joined with what links tell.
 *
 * The list is late in both directions: it shows a VM for a while after its death and after it began
 * to leave, and forgets one that still finishes its work. A link is first-hand knowledge, so it
 * overrules the list wherever it says "no new work"; the list alone never makes a VM usable.
 */

import type { Clock, Metrics } from '@plantaindrum/common';

/** What membership needs to know of a VM in the list. */
export interface ListedVm {
  name: string;
  address: string;
  state: 'live' | 'leaving';
}

/**
 * Whether a VM may get new work, and why not: `leaving` was announced or listed, `unlinked` has no
 * link now, `forgotten` was dropped by the list.
 */
export type Standing = 'usable' | 'leaving' | 'unlinked' | 'forgotten';

/** A VM that is known, with its standing. */
export interface Member<V extends ListedVm> {
  vm: V;
  standing: Standing;
}

/** Evidence on VMs, and what follows from it. */
export interface Membership<V extends ListedVm> {
  /** Takes a whole list. */
  listed(vms: readonly V[]): void;
  /** A link to this instance of the VM's process is up. */
  linked(name: string, instance: string): void;
  /** That instance announced that it takes no new work. */
  announcedLeaving(name: string, instance: string): void;
  /** The link to that instance has ended. */
  unlinked(name: string, instance: string): void;
  members(): Member<V>[];
  standing(name: string): Standing | undefined;
  /** Whether a link to the VM is to be kept up. */
  shouldDial(name: string): boolean;
}

/** Bounds of a membership. */
export interface MembershipOptions {
  clock: Clock;
  metrics: Metrics;
  /** A linked VM that the list dropped gets no new work after this long, in milliseconds. */
  forgetAfterMs?: number;
}

interface Known<V> {
  vm: V;
  missingSince: number | undefined;
  instance: string | undefined;
  leavingInstance: string | undefined;
}

/** A single reading without a VM may be a fault of the list; two a second apart seldom are. */
const FORGET_AFTER_MS = 1_500;

/**
 * Above this share of linked VMs missing at once the list is not believed: a platform that lost its
 * own records would otherwise take every upstream away, though all of them answer on their links.
 */
const MOST_MISSING_AT_ONCE = 0.5;

/** Creates a membership that knows nobody. */
export const createMembership = <V extends ListedVm>(options: MembershipOptions): Membership<V> => {
  const { clock, metrics } = options;
  const forgetAfterMs = options.forgetAfterMs ?? FORGET_AFTER_MS;
  const known = new Map<string, Known<V>>();

  const isImplausible = (names: Set<string>): boolean => {
    const linked = [...known.values()].filter(({ instance }) => instance !== undefined);
    const missing = linked.filter(({ vm }) => !names.has(vm.name));
    return missing.length > 1 && missing.length > linked.length * MOST_MISSING_AT_ONCE;
  };

  const note = (vm: V): void => {
    const before = known.get(vm.name);
    const isMoved = before !== undefined && before.vm.address !== vm.address;
    if (!before || isMoved) {
      known.set(vm.name, {
        ...{ vm, missingSince: undefined, instance: undefined, leavingInstance: undefined },
      });
      return;
    }
    before.vm = vm;
    before.missingSince = undefined;
  };

  const noteMissing = (entry: Known<V>): void => {
    const missingSince = entry.missingSince ?? clock.monotonic();
    if (entry.instance === undefined) known.delete(entry.vm.name);
    else known.set(entry.vm.name, { ...entry, missingSince });
  };

  const standingOf = (entry: Known<V>): Standing => {
    const { instance, leavingInstance, missingSince, vm } = entry;
    if (instance === undefined) return 'unlinked';
    if (instance === leavingInstance || vm.state === 'leaving') return 'leaving';
    if (missingSince !== undefined && clock.monotonic() - missingSince >= forgetAfterMs) {
      return 'forgotten';
    }
    return 'usable';
  };

  return {
    listed: (vms) => {
      const names = new Set(vms.map(({ name }) => name));
      vms.forEach(note);
      if (isImplausible(names)) {
        metrics.count('vm_list_not_believed');
        return;
      }
      [...known.values()].filter(({ vm }) => !names.has(vm.name)).forEach(noteMissing);
    },
    linked: (name, instance) => {
      const entry = known.get(name);
      if (entry) entry.instance = instance;
    },
    announcedLeaving: (name, instance) => {
      const entry = known.get(name);
      if (entry?.instance === instance) entry.leavingInstance = instance;
    },
    unlinked: (name, instance) => {
      const entry = known.get(name);
      if (entry?.instance !== instance) return;
      entry.instance = undefined;
      if (entry.missingSince !== undefined) known.delete(name);
    },
    members: () =>
      [...known.values()].map((entry) => ({ vm: entry.vm, standing: standingOf(entry) })),
    standing: (name) => {
      const entry = known.get(name);
      return entry && standingOf(entry);
    },
    shouldDial: (name) => known.get(name)?.missingSince === undefined && known.has(name),
  };
};
