/** Outcome of a request without a complete response. */
export type RefusalOutcome = 'not-run' | 'unknown';

/** Values that a message may contain; unknown ones are omitted. */
export interface ErrorData {
  /** Class of work. */
  class?: string;
  /** Requested model or plain service. */
  upstream?: string;
  dataCentre?: string;
  method?: string;
  path?: string;
  /** The limit that was exceeded, in the unit that the message names. */
  limit?: number;
  /** Short description of the fault, for example a parser's message. */
  detail?: string;
  file?: string;
  line?: number;
  key?: string;
  found?: string;
  expected?: string;
  /** Address that could not be reached. */
  address?: string;
  /** Id of a change of the intent, used to apply it again. */
  id?: string;
}

/** One user-facing error. */
export interface ErrorEntry {
  /** Short and fixed: the same for every occurrence. */
  title: string;
  /** One sentence that describes this occurrence. */
  message: (data: ErrorData) => string;
  /** What the reader can do about it. */
  hint: string;
}

/** An error that is sent as the response to a request. */
export interface RefusalEntry extends ErrorEntry {
  /** HTTP status of the response. */
  status: number;
  /** Outcome unless the refusal sets another. */
  outcome: RefusalOutcome;
}

/** An error that aborts a command or the start of a process. */
export interface CommandErrorEntry extends ErrorEntry {
  exitCode: number;
}
