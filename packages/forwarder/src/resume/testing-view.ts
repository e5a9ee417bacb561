import {createFleetView, type FleetView} from '@gentianlift/discovery';
import type {Logger} from '@gentianlift/logger';
import type {RoutingConfiguration, Upstream} from '@gentianlift/routing';

/** Creates a view of a fleet that has the configuration and the upstreams from the beginning. */
export const createTestView = (logger: Logger, configuration: RoutingConfiguration, upstreams: readonly Upstream[]): FleetView => {
	const view = createFleetView({
		logger,
		decode({key}) {
			const upstream = upstreams.find(({id}) => id === key);
			return upstream === undefined ? {kind: 'configuration', configuration} : {kind: 'upstream', upstream};
		},
	});
	const keys = ['c', ...upstreams.map(({id}) => id)];
	view.applySnapshot({entries: keys.map(key => ({key, value: '', revision: 1})), revision: 1}, 0);
	return view;
};
