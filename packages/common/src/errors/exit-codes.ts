/** Exit codes of both binaries; they are part of the documented interface. */
export const exitCodes = {
  ok: 0,
  /** A settings or intent file is not valid. */
  invalid: 1,
  /** The command line is wrong. */
  usage: 2,
  /** A concurrent change of the intent was accepted first. */
  conflict: 3,
  /** A change may or may not have been accepted. */
  unknown: 4,
  /** A node does not answer, refuses the token or cannot listen. */
  unreachable: 5,
  /** `status` found a target that is not met. */
  targetMissed: 6,
  /** A broken invariant stopped the process. */
  internal: 70,
  /** A second signal ended the process at once, with requests still in flight. */
  endedEarly: 130,
} as const;

/** The name of an exit code. */
export type ExitCodeName = keyof typeof exitCodes;
