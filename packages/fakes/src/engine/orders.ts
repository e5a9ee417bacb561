import type {
	EngineOrder, EngineRole, FencedOrder, ModelName,
} from '@gentianlift/types';
import type {EngineSettings} from './options.js';

/** What an engine holds, as orders change it. */
export type Holdings = {
	models: Set<ModelName>;
	adapters: Set<ModelName>;
	role: EngineRole;
};

/** An order that reached an engine and what became of it. */
export type OrderRecord = FencedOrder & {accepted: boolean};

/** Answer of an engine to an order. */
export type OrderAnswer = {status: number; body: unknown};

/** Carries out orders. */
export type Orders = {
	holdings: Holdings;
	records: OrderRecord[];
	apply: (order: FencedOrder) => Promise<OrderAnswer>;
};

const loadBytes = async (url: string | undefined, bytes: number): Promise<boolean> => {
	if (url === undefined) {
		return true;
	}

	const answer = await fetch(`${url}/v1/loads`, {method: 'POST', body: JSON.stringify({bytes})});
	return answer.ok;
};

const defaultBytes = 1e9;

/** Creates the part of an engine that takes orders. */
export const createOrders = (settings: EngineSettings): Orders => {
	const holdings: Holdings = {models: new Set(settings.models), adapters: new Set(settings.adapters), role: settings.role};
	const records: OrderRecord[] = [];
	const known = new Set<string>();
	let highest = 0;
	const getBytes = (name: ModelName): number => settings.bytes[name] ?? defaultBytes;

	const carryOut = async (order: EngineOrder): Promise<void> => {
		switch (order.kind) {
			case 'load': {
				if (await loadBytes(settings.weightStoreUrl, getBytes(order.model))) {
					holdings.models.add(order.model);
				}

				return;
			}

			case 'unload': {
				holdings.models.delete(order.model);
				return;
			}

			case 'load-adapter': {
				if (await loadBytes(settings.weightStoreUrl, getBytes(order.adapter))) {
					holdings.adapters.add(order.adapter);
				}

				return;
			}

			case 'unload-adapter': {
				holdings.adapters.delete(order.adapter);
				return;
			}

			case 'change-role': {
				holdings.role = order.role;
			}
		}
	};

	return {
		holdings,
		records,
		async apply(order) {
			const accepted = settings.fencing === 'ignored' || order.fencingNumber >= highest;
			records.push({...order, accepted});
			if (!accepted) {
				return {status: 409, body: {highest}};
			}

			highest = Math.max(highest, order.fencingNumber);
			if (!known.has(order.id)) {
				known.add(order.id);
				void carryOut(order.order);
			}

			return {status: 200, body: {accepted: true}};
		},
	};
};
