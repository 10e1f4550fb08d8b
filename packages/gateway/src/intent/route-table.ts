import type { Intent, Organisation, Route, Service } from '../types.js';

/** The operators' intent, indexed for lookups. */
export interface RouteTable {
  readonly intent: Intent;
  /** The route of the host with the longest prefix that matches the path. */
  route(host: string, path: string): Route | undefined;
  organisation(apiKey: string): Organisation | undefined;
  service(name: string): Service | undefined;
}

const withoutPort = (host: string): string => host.replace(/:\d+$/, '').toLowerCase();

/** Indexes an intent for lookups. */
export const createRouteTable = (intent: Intent): RouteTable => {
  const byHost = new Map<string, Route[]>();
  for (const route of intent.routes) {
    const host = withoutPort(route.host);
    const routes = byHost.get(host);
    if (routes) routes.push(route);
    else byHost.set(host, [route]);
  }
  byHost.forEach((routes) => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  const services = new Map(intent.services.map((service) => [service.name, service]));
  const organisations = new Map(
    (intent.organisations ?? []).flatMap((organisation) =>
      organisation.apiKeys.map((key): [string, Organisation] => [key, organisation]),
    ),
  );
  return {
    intent,
    route: (host, path) =>
      byHost.get(withoutPort(host))?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
    organisation: (apiKey) => organisations.get(apiKey),
    service: (name) => services.get(name),
  };
};

/** Selects a service of a route at random by weight; `random` is uniform in [0, 1). */
export const pickService = (route: Route, random: () => number): string | undefined => {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * total;
  for (const { service, weight } of route.services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.services[0]?.service;
};
