/** The exit codes of the command line. */
export const ExitCode = {
  /** All that was asked is done. */
  Done: 0,
  /** It was refused, with the reason. */
  Refused: 1,
  /** The settings or the usage are mistaken; nothing was started. */
  InvalidUsage: 2,
  /** The outcome is not known yet. */
  Unknown: 3,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
