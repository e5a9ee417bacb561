import {createFailure} from '@gentianlift/errors';
import type {HostParts} from '../../parts.js';
import {authenticate} from '../admission.js';
import {sendJson} from '../answer.js';
import type {Exchange} from '../exchange.js';

/** Answers `GET /v1/hosts`, with `?zone=` or `x-zone` for the caller's availability zone. */
export const handleHosts = (parts: HostParts, {request, response}: Exchange): void => {
	const named = new URL(request.url ?? '/', 'http://callers').searchParams.get('zone');
	const header = request.headers['x-zone'];
	const zone = named ?? (typeof header === 'string' ? header : undefined);
	sendJson(response, 200, parts.getHostAnswer(zone));
};

/** Answers `GET /v1/models` with the models and adapters of the inventory; throws the failure to report. */
export const handleModels = (parts: HostParts, {request, response}: Exchange): void => {
	const {configuration: {inventory}} = authenticate(parts, request);
	const names = [...inventory.models, ...inventory.adapters].map(({name}) => name);
	sendJson(response, 200, {
		object: 'list', data: names.map(id => ({
			id, object: 'model', created: 0, owned_by: 'gentianlift',
		})),
	});
};

const requestPath = /^\/v1\/requests\/(?<id>[^\/?]+)/v;

/** Answers `GET /v1/requests/<id>` with the account of the caller's own request; throws the failure to report. */
export const handleRequestQuery = async (parts: HostParts, {request, response}: Exchange): Promise<void> => {
	const {customer} = authenticate(parts, request);
	const id = decodeURIComponent(requestPath.exec(request.url ?? '')?.groups?.id ?? '');
	const account = await parts.readAccount(id, customer.id);
	if (account?.customer !== customer.id) {
		throw createFailure('unknown-request');
	}

	sendJson(response, 200, account);
};
