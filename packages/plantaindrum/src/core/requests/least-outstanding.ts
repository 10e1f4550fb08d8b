import type { Upstream } from '../upstreams/upstream.js';
import type { ChooseUpstream, EntryRequest } from './types.js';

/** Whether an upstream serves what a request asks for. */
export const serves = (request: EntryRequest, upstream: Upstream): boolean => {
  const { kind, model, service } = upstream.vm();
  const { target } = request;
  if (target.kind === 'model') return kind === 'model' && model === target.model;
  return kind === 'service' && service === target.service;
};

const loadOf = (upstream: Upstream): number =>
  upstream.outstanding() + (upstream.load()?.queued ?? 0);

/** Takes the linked upstream with the least outstanding work that has not been tried. */
export const createLeastOutstanding =
  (upstreams: () => Upstream[]): ChooseUpstream =>
  (request, tried) =>
    upstreams()
      .filter((upstream) => serves(request, upstream) && !tried.has(upstream))
      .filter((upstream) => upstream.link() !== undefined && !upstream.leaving())
      .sort((a, b) => loadOf(a) - loadOf(b))[0];
