import type {Clock} from '@gentianlift/clock';
import type {KeyValueService} from '@gentianlift/types';
import type {OperatorClient} from './operator-client.js';

/** What the command line needs of the outside. */
export type Environment = {
	clock: Clock;
	variables: Record<string, string | undefined>;
	/** Unique among all runs of the command line on all machines. */
	createToken: () => string;
	/** Undefined if the file can't be read. */
	readFile: (path: string) => Promise<string | undefined>;
	createKeyValue: (url: string) => KeyValueService & {close: () => void};
	callOperator: OperatorClient;
};
