import type {KeyValueService} from '@gentianlift/types';
import {exitCodes} from './exit-codes.js';
import {createFailure, type Result} from './result.js';
import type {Session} from './session.js';

const missingKeyValueUrlMessage = 'The URL of the key-value service is missing: give --key-value-url, GENTIANLIFT_KEY_VALUE_URL or keyValueUrl in --settings.';

/** Runs a command that needs the key-value service; fails if no URL of it was given. */
export const withKeyValue = async ({keyValue}: Session, run: (keyValue: KeyValueService) => Promise<Result>): Promise<Result> =>
	keyValue === undefined ? createFailure(exitCodes.usage, missingKeyValueUrlMessage) : run(keyValue);
