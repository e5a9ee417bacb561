/** Exit codes of the command line. */
export const exitCodes = {
	/** The command succeeded. */
	ok: 0,
	/** The command failed, or succeeded at some hosts only. */
	failed: 1,
	/** Wrong command, flag or file name. */
	usage: 2,
	/** Another operator has changed the configuration since the base version. */
	conflict: 3,
	/** The key-value service or the hosts can't be reached, or the outcome of a write is unknown. */
	unavailable: 4,
} as const;

/** One of `exitCodes`. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
