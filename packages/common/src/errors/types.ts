/** What became of a request that has no whole answer. */
export type RefusalOutcome = 'not-run' | 'unknown';

/** Facts that a message may name; each is left out when it is not known. */
export interface ErrorData {
  /** Class of work. */
  class?: string;
  /** Model or plain service that was asked for. */
  upstream?: string;
  dataCentre?: string;
  method?: string;
  path?: string;
  /** The limit that was exceeded, in the unit that the message names. */
  limit?: number;
  /** What is wrong, in a few words, for example a parser's message. */
  detail?: string;
  file?: string;
  line?: number;
  key?: string;
  found?: string;
  expected?: string;
  /** Address that could not be reached. */
  address?: string;
  /** Id of a change of intent, to ask again by. */
  id?: string;
}

/** One user-facing error. */
export interface ErrorEntry {
  /** Short and fixed; the same for every occurrence. */
  title: string;
  /** One sentence that names what was found. */
  message: (data: ErrorData) => string;
  /** What the reader can do about it. */
  hint: string;
}

/** An error that answers a request. */
export interface RefusalEntry extends ErrorEntry {
  /** HTTP status of the answer. */
  status: number;
  /** The outcome where the place that refuses names no other. */
  outcome: RefusalOutcome;
}

/** An error that ends a command or the start of a process. */
export interface CommandErrorEntry extends ErrorEntry {
  exitCode: number;
}
