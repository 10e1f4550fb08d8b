/** Has the log read by an agent while the store turns this entry away and no informed entry can be reached. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import { silentLogger } from '@plantaindrum/common';
import { createLinkClient, defaultLinkLimits } from '@plantaindrum/link';
import type { Link } from '@plantaindrum/link';
import { parsePeerRecords, RELAYED_READ_CALL, selectMirrorAgents } from '@plantaindrum/mirror';
import type { NodeRecord, PeerRecords } from '@plantaindrum/mirror';
import { createAgentPoll } from './agent-poll.js';

/** Agents that can read the log for this entry. */
export interface AgentRelay {
  /** Applies the published node records. */
  setNodes(nodes: readonly NodeRecord[]): void;
  /** Has an agent read a topic; undefined if none has answered. */
  fetch(topic: string): Promise<PeerRecords | undefined>;
  /** Fetches a topic from the agents that mirror it; empty if none has answered. */
  fetchAgentMirrors(topic: string): Promise<PeerRecords[]>;
}

/** Options of `createAgentRelay`. */
export interface AgentRelayOptions {
  self: NodeRecord;
  region: string;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** Timeout of connecting to an agent, in ms. */
const CONNECT_TIMEOUT_MS = 400;
/** Timeout of an agent's answer, in ms; a call to the store usually takes 4 ms. */
const ANSWER_TIMEOUT_MS = 600;
/** The link serves a single call; it is not dialled again. */
const NO_REDIAL = { firstMs: 60_000, maxMs: 60_000 };

/** Creates the relay of an entry that knows no agents yet. */
export const createAgentRelay = (options: AgentRelayOptions): AgentRelay => {
  const { self, region, clock, random, metrics, log } = options;
  /** Runs one call on a link of its own: links that were used before may be dead. */
  const callAgent = async (agent: NodeRecord, topic: string): Promise<unknown> => {
    let open = (_link: Link | undefined): void => {};
    const opened = new Promise<Link | undefined>((resolve) => {
      open = resolve;
    });
    const client = createLinkClient({
      connect: { host: agent.host, port: agent.port },
      identity: {
        role: 'entry',
        node: self.node,
        instance: self.instance,
        dataCentre: self.dataCentre,
        region,
      },
      intentOffset: () => -1,
      limits: { ...defaultLinkLimits, helloTimeoutMs: CONNECT_TIMEOUT_MS },
      handlers: {},
      onLink: (link) => {
        open(link);
        return () => {};
      },
      onDown: () => open(undefined),
      backoff: NO_REDIAL,
      random,
      clock,
      metrics,
      log: silentLogger,
    });
    const link = await opened;
    const reply = await link?.call(RELAYED_READ_CALL, { topic }, ANSWER_TIMEOUT_MS);
    void client.close();
    return reply?.outcome === 'answered' ? reply.value : undefined;
  };

  const askAgent = async (agent: NodeRecord, topic: string): Promise<PeerRecords | undefined> => {
    const records = parsePeerRecords(await callAgent(agent, topic));
    const outcome = records ? 'answered' : 'no-answer';
    metrics.count('gateway_relayed_reads', { outcome });
    log.event('relayed-read', { topic, agent: agent.node, outcome, end: records?.end });
    return records;
  };

  let mirrorAgents: readonly NodeRecord[] = [];
  const poll = createAgentPoll({ call: askAgent, clock, random });

  return {
    setNodes: (nodes) => {
      poll.setAgents(nodes.filter(({ role }) => role === 'agent'));
      mirrorAgents = selectMirrorAgents(nodes);
    },
    fetch: poll.ask,
    fetchAgentMirrors: async (topic) => {
      const answers = await Promise.all(mirrorAgents.map((agent) => askAgent(agent, topic)));
      return answers.flatMap((answer) => answer ?? []);
    },
  };
};
