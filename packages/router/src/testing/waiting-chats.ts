import {once} from 'node:events';
import {request, type IncomingMessage} from 'node:http';
import {splitAddress, type Address, type Configuration} from '@gentianlift/types';

/** Model of the class whose requests wait longest. */
const model = 'reader-14b';

/** Changes a configuration so that one engine alone has the model and runs one request at a time. */
export const leaveOneSlot = ({inventory, ...configuration}: Configuration): Configuration => {
	const engine = inventory.engines.find(({models}) => models.includes(model));
	return {
		...configuration,
		inventory: {
			...inventory,
			engines: inventory.engines.map(other => other === engine ? {...other, slots: 1} : {...other, models: other.models.filter(name => name !== model), adapters: []}),
		},
	};
};

/** Does the same, and has chats of the model run at most once. */
export const leaveOneSlotAtMostOnce = (configuration: Configuration): Configuration => {
	const {rules, ...others} = leaveOneSlot(configuration);
	return {...others, rules: {...rules, classes: rules.classes.map(requestClass => requestClass.match.models?.includes(model) === true ? {...requestClass, idempotent: false} : requestClass)}};
};

/** A host, and the key of a customer. */
export type ChatTarget = {callerAddress: Address; operatorAddress: Address; key: string};

/** Sends a chat that would run for a minute. */
export const sendLongChat = async ({callerAddress, key}: Pick<ChatTarget, 'callerAddress' | 'key'>, headers: Record<string, string> = {}): Promise<Response> => fetch(`http://${callerAddress}/v1/chat/completions`, {
	method: 'POST',
	headers: {authorization: `Bearer ${key}`, ...headers},
	body: JSON.stringify({
		model, max_tokens: 12_000, stream: true, messages: [{role: 'user', content: 'endless #tokens=12000'}],
	}),
});

/** Returns the number of requests in the queue of a host. */
export const readQueueLength = async ({operatorAddress}: Pick<ChatTarget, 'operatorAddress'>): Promise<number> => {
	const answer = await fetch(`http://${operatorAddress}/operator/status`);
	return (await answer.json() as {requests: {waiting: number}}).requests.waiting;
};

/** Has a host stop at once, as an operator does. */
export const forceStop = async ({operatorAddress}: Pick<ChatTarget, 'operatorAddress'>): Promise<void> => {
	await fetch(`http://${operatorAddress}/operator/drain`, {method: 'POST', body: '{"force":true}'});
};

/** Sends a booking. */
export const sendBooking = async ({callerAddress, key}: Pick<ChatTarget, 'callerAddress' | 'key'>): Promise<Response> => fetch(`http://${callerAddress}/v1/services/orders/cut-orders`, {
	method: 'POST', headers: {authorization: `Bearer ${key}`, 'idempotency-key': 'a'}, body: '{"bar":1}',
});

/** Sends the first half of a chat; resolves with what is answered to that. */
export const sendHalfChat = async ({callerAddress, key}: Pick<ChatTarget, 'callerAddress' | 'key'>): Promise<string> => {
	const sending = request({
		...splitAddress(callerAddress), path: '/v1/chat/completions', method: 'POST', headers: {authorization: `Bearer ${key}`, 'content-length': 100},
	});
	sending.write('{"model":');
	const [{statusCode, headers}] = await once(sending, 'response') as [IncomingMessage];
	return `${statusCode} ${String(headers['x-error-kind'])} ${String(headers['x-ran'])}`;
};
