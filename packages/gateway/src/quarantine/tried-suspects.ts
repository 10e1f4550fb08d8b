import type { Clock } from '@plantaindrum/common';

/** Suspect requests that are being tried at an upstream, here or by another entry. */
export interface TriedSuspects {
  begin(fingerprint: string): void;
  end(fingerprint: string): void;
  here(): string[];
  /** A peer names all that it tries now. */
  notePeer(peer: string, fingerprints: readonly string[]): void;
  forgetPeer(peer: string): void;
  isTriedByPeer(fingerprint: string): boolean;
}

/** What a peer says holds for so long at the most, in ms: it may be cut off before it tells how its try ended. */
const TRIED_MS = 3_000;

/** Creates the record. */
export const createTriedSuspects = (clock: Clock): TriedSuspects => {
  const counts = new Map<string, number>();
  const peers = new Map<string, { fingerprints: readonly string[]; at: number }>();

  const change = (fingerprint: string, by: 1 | -1): void => {
    const count = (counts.get(fingerprint) ?? 0) + by;
    if (count > 0) counts.set(fingerprint, count);
    else counts.delete(fingerprint);
  };

  return {
    begin: (fingerprint) => change(fingerprint, 1),
    end: (fingerprint) => change(fingerprint, -1),
    here: () => [...counts.keys()],
    notePeer: (peer, fingerprints) => {
      peers.set(peer, { fingerprints, at: clock.monotonic() });
    },
    forgetPeer: (peer) => {
      peers.delete(peer);
    },
    isTriedByPeer: (fingerprint) =>
      [...peers.values()].some(
        ({ fingerprints, at }) =>
          clock.monotonic() - at < TRIED_MS && fingerprints.includes(fingerprint),
      ),
  };
};
