/** Exit codes of the command line. */
export const exitCodes = {
	/** Done. */
	ok: 0,
	/** Not done, or not everywhere. */
	failed: 1,
	/** A wrong command, flag or file name. */
	usage: 2,
	/** Another operator changed the configuration. */
	conflict: 3,
	/** The service or the hosts can't be reached, or it isn't known what became of a write. */
	unavailable: 4,
} as const;

/** One of `exitCodes`. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
