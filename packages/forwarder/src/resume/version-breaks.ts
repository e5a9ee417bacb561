import type {Cancel, Clock} from '@gentianlift/clock';
import type {RoutingConfiguration, VersionHistory} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';

/** Breaks in what a host knows of the versions that have served a route: changes of routes, and times in which nobody told it of upstreams. */
export type VersionBreaks = {
	/** Records a configuration: other services may have served a route before. */
	applyConfiguration: (configuration: RoutingConfiguration) => void;
	stop: Cancel;
};

/** Dependencies of the breaks. */
export type VersionBreaksOptions = {
	clock: Clock;
	versions: Pick<VersionHistory, 'restart'>;
	/** Returns the time since the store or another host last confirmed what this host knows. */
	getSilence: () => Milliseconds;
};

const checkInterval: Milliseconds = 250;
/** Silence, or suspension of the process, in which an upstream may have come and gone unnoticed. */
const maxSilence: Milliseconds = 4000;

/** Returns a text that is the same for configurations whose routes lead to the same services. */
const describeRoutes = ({routes}: RoutingConfiguration): string =>
	JSON.stringify(routes.map(({hostname, pathPrefix, destinations}) => [hostname, pathPrefix, destinations.map(({service}) => service)]));

/** Starts to watch for breaks. */
export const watchVersionBreaks = ({clock, versions, getSilence}: VersionBreaksOptions): VersionBreaks => {
	let routes = '';
	let checkedAt = clock.monotonic();
	const {every} = clock;
	const stop = every(checkInterval, () => {
		const now = clock.monotonic();
		if (now - checkedAt > maxSilence || getSilence() > maxSilence) {
			versions.restart(now);
		}

		checkedAt = now;
	});
	return {
		applyConfiguration(configuration) {
			const next = describeRoutes(configuration);
			if (next !== routes) {
				routes = next;
				versions.restart(clock.monotonic());
			}
		},
		stop,
	};
};
