import type { Clock } from '@plantaindrum/common';

/** Suspect requests under trial: sent to an upstream by this entry or by a peer, with the outcome unknown yet. */
export interface SuspectTrials {
  begin(fingerprint: string): void;
  end(fingerprint: string): void;
  /** Returns the requests under trial at this entry. */
  localTrials(): string[];
  /** Replaces the set of requests under trial at a peer. */
  setPeerTrials(peer: string, fingerprints: readonly string[]): void;
  forgetPeer(peer: string): void;
  isUnderTrialByPeer(fingerprint: string): boolean;
}

/** Time for which a peer's report is valid, in ms: it may be disconnected before it reports the end of its trial. */
const PEER_TRIAL_TTL_MS = 3_000;

/** Creates an empty set of trials. */
export const createSuspectTrials = (clock: Clock): SuspectTrials => {
  const counts = new Map<string, number>();
  const peers = new Map<string, { fingerprints: readonly string[]; at: number }>();

  const addToCount = (fingerprint: string, difference: 1 | -1): void => {
    const count = (counts.get(fingerprint) ?? 0) + difference;
    if (count > 0) counts.set(fingerprint, count);
    else counts.delete(fingerprint);
  };

  return {
    begin: (fingerprint) => addToCount(fingerprint, 1),
    end: (fingerprint) => addToCount(fingerprint, -1),
    localTrials: () => [...counts.keys()],
    setPeerTrials: (peer, fingerprints) => {
      peers.set(peer, { fingerprints, at: clock.monotonic() });
    },
    forgetPeer: (peer) => {
      peers.delete(peer);
    },
    isUnderTrialByPeer: (fingerprint) =>
      [...peers.values()].some(
        ({ fingerprints, at }) =>
          clock.monotonic() - at < PEER_TRIAL_TTL_MS && fingerprints.includes(fingerprint),
      ),
  };
};
