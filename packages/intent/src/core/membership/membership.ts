/**
 * Which VMs exist and may get new work, from the platform's VM list and the state of links.
 *
 * The list lags in both directions: it shows a VM for a while after it has ended or begun to leave,
 * and drops one that is still finishing its work. The state of a link is first-hand, so it overrides
 * the list where it rules new work out; the list alone never makes a VM usable.
 */

import type { Clock, Metrics } from '@plantaindrum/common';

/** The fields of a listed VM that membership uses. */
export interface ListedVm {
  name: string;
  address: string;
  state: 'live' | 'leaving';
}

/**
 * Whether a VM may get new work (`usable`), or why not: `leaving` was announced by its process or
 * by the list, `unlinked` has no link at present, `forgotten` was dropped from the list.
 */
export type Availability = 'usable' | 'leaving' | 'unlinked' | 'forgotten';

/** A known VM, and whether it may get new work. */
export interface Member<V extends ListedVm> {
  vm: V;
  availability: Availability;
}

/** Combines the VM list with the events of links. */
export interface Membership<V extends ListedVm> {
  /** Applies a complete VM list. */
  applyList(vms: readonly V[]): void;
  /** Records that a link to this instance of the VM's process is up. */
  handleLinked(name: string, instance: string): void;
  /** Records that this instance announced that it takes no new work. */
  handleLeaving(name: string, instance: string): void;
  /** Records that the link to this instance has closed. */
  handleUnlinked(name: string, instance: string): void;
  members(): Member<V>[];
  availability(name: string): Availability | undefined;
  /** Whether to keep dialling the VM while it has no link. */
  shouldDial(name: string): boolean;
}

/** Options of `createMembership`. */
export interface MembershipOptions {
  clock: Clock;
  metrics: Metrics;
  /** Time after which a linked VM that the list has dropped gets no new work, in milliseconds. */
  forgetAfterMs?: number;
}

interface KnownVm<V> {
  vm: V;
  missingSince: number | undefined;
  instance: string | undefined;
  leavingInstance: string | undefined;
}

/** A single list without a VM may be a fault of the list; two that are a second apart rarely are. In milliseconds. */
const FORGET_AFTER_MS = 1_500;

/**
 * Removals are ignored when more than this share of the linked VMs is missing from the list at once:
 * a platform that lost its own records would otherwise remove every upstream, though all of them
 * still answer on their links.
 */
const MAX_MISSING_SHARE = 0.5;

/** Creates a membership without VMs. */
export const createMembership = <V extends ListedVm>(options: MembershipOptions): Membership<V> => {
  const { clock, metrics } = options;
  const forgetAfterMs = options.forgetAfterMs ?? FORGET_AFTER_MS;
  const known = new Map<string, KnownVm<V>>();

  const isImplausible = (names: Set<string>): boolean => {
    const linked = [...known.values()].filter(({ instance }) => instance !== undefined);
    const missing = linked.filter(({ vm }) => !names.has(vm.name));
    return missing.length > 1 && missing.length > linked.length * MAX_MISSING_SHARE;
  };

  const recordListed = (vm: V): void => {
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

  const recordMissing = (entry: KnownVm<V>): void => {
    const missingSince = entry.missingSince ?? clock.monotonic();
    if (entry.instance === undefined) known.delete(entry.vm.name);
    else known.set(entry.vm.name, { ...entry, missingSince });
  };

  const availabilityOf = (entry: KnownVm<V>): Availability => {
    const { instance, leavingInstance, missingSince, vm } = entry;
    if (instance === undefined) return 'unlinked';
    if (instance === leavingInstance || vm.state === 'leaving') return 'leaving';
    if (missingSince !== undefined && clock.monotonic() - missingSince >= forgetAfterMs) {
      return 'forgotten';
    }
    return 'usable';
  };

  return {
    applyList: (vms) => {
      const names = new Set(vms.map(({ name }) => name));
      vms.forEach(recordListed);
      if (isImplausible(names)) {
        metrics.count('vm_list_not_believed');
        return;
      }
      [...known.values()].filter(({ vm }) => !names.has(vm.name)).forEach(recordMissing);
    },
    handleLinked: (name, instance) => {
      const entry = known.get(name);
      if (entry) entry.instance = instance;
    },
    handleLeaving: (name, instance) => {
      const entry = known.get(name);
      if (entry?.instance === instance) entry.leavingInstance = instance;
    },
    handleUnlinked: (name, instance) => {
      const entry = known.get(name);
      if (entry?.instance !== instance) return;
      entry.instance = undefined;
      if (entry.missingSince !== undefined) known.delete(name);
    },
    members: () =>
      [...known.values()].map((entry) => ({ vm: entry.vm, availability: availabilityOf(entry) })),
    availability: (name) => {
      const entry = known.get(name);
      return entry && availabilityOf(entry);
    },
    shouldDial: (name) => known.get(name)?.missingSince === undefined && known.has(name),
  };
};
