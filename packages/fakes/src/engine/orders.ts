import type {
	EngineOrder, EngineRole, FencedOrder, ModelName,
} from '@gentianlift/types';
import type {EngineSettings} from './options.js';

/** Loaded models and adapters and the role of an engine, which orders change. */
export type Holdings = {
	models: Set<ModelName>;
	adapters: Set<ModelName>;
	role: EngineRole;
};

/** Record of a received order and whether it was accepted. */
export type OrderRecord = FencedOrder & {accepted: boolean};

/** Response of an engine to an order. */
export type OrderAnswer = {status: number; body: unknown};

/** Executes the placement orders that an engine receives. */
export type OrderExecutor = {
	holdings: Holdings;
	records: OrderRecord[];
	/** Executes an order once per id; rejects it if its fencing number is lower than one seen before, unless fencing numbers are ignored. */
	apply: (order: FencedOrder) => Promise<OrderAnswer>;
};

/** Loads weights from the weight store; returns whether it succeeded. Without a store, loading takes no time. */
const loadWeights = async (url: string | undefined, bytes: number): Promise<boolean> => {
	if (url === undefined) {
		return true;
	}

	const answer = await fetch(`${url}/v1/loads`, {method: 'POST', body: JSON.stringify({bytes})});
	return answer.ok;
};

const defaultWeightBytes = 1e9;

/** Creates the component of an engine that executes orders. */
export const createOrderExecutor = (settings: EngineSettings): OrderExecutor => {
	const holdings: Holdings = {models: new Set(settings.models), adapters: new Set(settings.adapters), role: settings.role};
	const records: OrderRecord[] = [];
	const knownOrderIds = new Set<string>();
	let highestFencingNumber = 0;
	const getWeightBytes = (name: ModelName): number => settings.bytes[name] ?? defaultWeightBytes;

	const executeOrder = async (order: EngineOrder): Promise<void> => {
		switch (order.kind) {
			case 'load': {
				if (await loadWeights(settings.weightStoreUrl, getWeightBytes(order.model))) {
					holdings.models.add(order.model);
				}

				return;
			}

			case 'unload': {
				holdings.models.delete(order.model);
				return;
			}

			case 'load-adapter': {
				if (await loadWeights(settings.weightStoreUrl, getWeightBytes(order.adapter))) {
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
			const accepted = settings.fencing === 'ignored' || order.fencingNumber >= highestFencingNumber;
			records.push({...order, accepted});
			if (!accepted) {
				return {status: 409, body: {highest: highestFencingNumber}};
			}

			highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber);
			if (!knownOrderIds.has(order.id)) {
				knownOrderIds.add(order.id);
				void executeOrder(order.order);
			}

			return {status: 200, body: {accepted: true}};
		},
	};
};
