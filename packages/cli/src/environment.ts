import type {Clock} from '@gentianlift/clock';
import type {KeyValueService} from '@gentianlift/types';
import type {OperatorClient} from './operator-client.js';

/** Dependencies of the command line on the process, the file system and the network. */
export type Environment = {
	clock: Clock;
	variables: Record<string, string | undefined>;
	/** Returns a token that no other run of the command line has, on any computer. */
	createToken: () => string;
	/** Returns the text of a file; undefined if it can't be read. */
	readFile: (path: string) => Promise<string | undefined>;
	createKeyValue: (url: string) => KeyValueService & {close: () => void};
	callOperator: OperatorClient;
};
