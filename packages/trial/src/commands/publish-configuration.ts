import type {FakeKeyValue} from '@gentianlift/fakes';
import type {Configuration, ConfigurationVersion, Milliseconds} from '@gentianlift/types';

/** Key of the active configuration in the key-value service. */
export const currentConfigurationKey = 'configuration/current';

/** Writes version 1 of the configuration into an empty key-value service. */
export const publishConfiguration = (keyValue: FakeKeyValue, configuration: Configuration, now: Milliseconds): ConfigurationVersion => {
	const initial: ConfigurationVersion = {
		version: 1, token: 'trial-1', author: 'trial', acceptedAt: now, note: 'First configuration of the trial', configuration,
	};
	const value = JSON.stringify(initial);
	keyValue.store.write(currentConfigurationKey, {value, expected: 0});
	keyValue.store.write('configuration/history/1', {value, expected: 0});
	return initial;
};
