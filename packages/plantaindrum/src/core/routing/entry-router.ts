/** Connects the router to the VM list, the links and the operators' intent of this entry. */

import type { Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import type { IntentDocument } from '@plantaindrum/intent';
import { createReturnRamp, mayDispatch } from '@plantaindrum/intent';
import type { Vm } from '@plantaindrum/service-clients';
import type { Route, DispatchedRequest, UpstreamStatus } from '@plantaindrum/requests';
import { createRouter, prefixHash } from '@plantaindrum/requests';
import type { EntryRequest } from '../requests/types.js';
import type { Upstream, UpstreamEventHandlers } from '../upstreams/upstream.js';

/** A selected upstream with the ticket that reports the progress of the request to the router. */
export interface SelectedUpstream {
  upstream: Upstream;
  ticket: DispatchedRequest;
}

/** Router of one entry. */
export interface EntryRouter {
  selectUpstream(request: EntryRequest, tried: ReadonlySet<string>): SelectedUpstream | undefined;
  /** Applies a VM list; the result tells whether this entry keeps a link to an upstream. */
  applyVmList(vms: readonly Vm[]): (vm: Vm) => boolean;
  /** Applies stops and starts of data centres; to be called when the intent has changed. */
  handleIntentChange(): void;
  createEventHandlers(vm: Vm): UpstreamEventHandlers;
  /** Ejects slow upstreams and readmits recovered ones; to be called about once a second. */
  reviewHealth(): void;
  status(): UpstreamStatus[];
}

/** Options of the entry router. */
export interface EntryRouterOptions {
  self: { name: string; dataCentre: string; region: string };
  upstreams: () => Upstream[];
  document: () => IntentDocument;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
}

/** Models and services have separate namespaces: a model and a service may share a name. */
const vmTarget = ({ kind, model, service }: Vm): string =>
  kind === 'model' ? `model/${model ?? ''}` : `service/${service ?? ''}`;

const requestTarget = ({ target }: EntryRequest): string =>
  target.kind === 'model' ? `model/${target.model}` : `service/${target.service}`;

/** Creates the router of one entry. */
export const createEntryRouter = (options: EntryRouterOptions): EntryRouter => {
  const { self, document, clock, random, metrics, log } = options;
  const { name: id, dataCentre, region } = self;
  const router = createRouter({ clock, random, self: { id, dataCentre, region } });
  const unlinked = new Set<string>();
  const linkOwners = new Map<string, symbol>();
  let vms: readonly Vm[] = [];
  const ramp = createReturnRamp({ clock, random });

  const upstreamVms = (): Vm[] => vms.filter(({ role }) => role === 'upstream');

  const updateRouter = (): void => {
    router.setEntries(
      vms.filter(({ role }) => role === 'entry').map((vm) => ({ ...vm, id: vm.name })),
    );
    router.setUpstreams(
      upstreamVms().map((vm) => ({
        id: vm.name,
        dataCentre: vm.dataCentre,
        region: vm.region,
        target: vmTarget(vm),
        leaving: vm.state === 'leaving' || !mayDispatch(document(), dataCentre, vm.dataCentre),
      })),
    );
  };

  /** Upstreams of restarted data centres that the ramp holds back: traffic returns gradually. */
  const heldBackUpstreams = (): string[] => {
    const names = new Set(Object.keys(document().dataCentres).filter((name) => !ramp.admits(name)));
    return names.size === 0
      ? []
      : upstreamVms().flatMap((vm) => (names.has(vm.dataCentre) ? vm.name : []));
  };

  const forgetUpstream = (name: string): void => {
    linkOwners.delete(name);
    unlinked.delete(name);
  };

  const findUpstream = (name: string): Upstream | undefined =>
    options.upstreams().find((upstream) => upstream.vm().name === name);

  const promptPrefix = ({ target }: EntryRequest): string | undefined =>
    target.kind === 'model' ? prefixHash(target.prompt) : undefined;

  const selectRoute = (request: EntryRequest, tried: ReadonlySet<string>): Route => {
    const prefix = promptPrefix(request);
    const routeExcluding = (names: Iterable<string>): Route =>
      router.choose({
        target: requestTarget(request),
        exclude: new Set([...tried, ...unlinked, ...names]),
        ...(prefix !== undefined && { prefix }),
      });
    const heldBack = heldBackUpstreams();
    const route = routeExcluding(heldBack);
    // A request that no other upstream can serve goes to one that is held back.
    return route.upstream === undefined && heldBack.length > 0 ? routeExcluding([]) : route;
  };

  return {
    selectUpstream: (request, tried) => {
      const route = selectRoute(request, tried);
      if (route.upstream === undefined) {
        metrics.count('route_refused', { reason: route.reason });
        return undefined;
      }
      const upstream = findUpstream(route.upstream);
      if (!upstream) return undefined;
      metrics.count('routes', { method: route.method });
      return { upstream, ticket: router.recordDispatch(route.upstream) };
    },
    applyVmList: (next) => {
      vms = next;
      updateRouter();
      const targets = new Set(upstreamVms().map(vmTarget));
      const kept = new Set([...targets].flatMap(router.subset));
      [...linkOwners.keys()].filter((name) => !kept.has(name)).forEach(forgetUpstream);
      return (vm) => kept.has(vm.name);
    },
    handleIntentChange: () => {
      ramp.update(document());
      updateRouter();
    },
    createEventHandlers: ({ name }) => {
      // A VM that returns under the same name at another address has a new link. Events of the old
      // link, above all its end, must not be applied to the new one.
      const owner = Symbol(name);
      linkOwners.set(name, owner);
      unlinked.add(name);
      const ifCurrentOwner = (fn: () => void): void => {
        if (linkOwners.get(name) === owner) fn();
      };
      return {
        load: (load) => ifCurrentOwner(() => router.recordLoad(name, load)),
        leaving: () => ifCurrentOwner(() => router.markLeaving(name)),
        linked: (linked) =>
          ifCurrentOwner(() => {
            router.setSilent(name, !linked);
            if (linked) unlinked.delete(name);
            else unlinked.add(name);
          }),
      };
    },
    reviewHealth: () =>
      router.updateHealth().forEach(({ upstream, from, to, reason }) => {
        metrics.count('upstream_health', { to, reason });
        log.info(`upstream ${upstream} changed from ${from} to ${to}: ${reason}`);
      }),
    status: router.status,
  };
};
