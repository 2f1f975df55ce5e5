/** The exit codes of the command line. */
export const ExitCode = {
  /** The command succeeded. */
  Done: 0,
  /** The request was refused or a check failed; the reason is printed. */
  Refused: 1,
  /** The settings or the arguments are invalid; nothing was started. */
  InvalidUsage: 2,
  /** The outcome is not known yet. */
  Unknown: 3,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
