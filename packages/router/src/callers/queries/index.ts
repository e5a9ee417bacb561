import {createFailure} from '@gentianlift/errors';
import type {HostContext} from '../../host-context.js';
import {authenticate} from '../admission.js';
import {sendJson} from '../send-response.js';
import type {Exchange} from '../exchange.js';

/** Handles `GET /v1/hosts`; the caller's availability zone is given as `?zone=` or in the header `x-zone`. */
export const handleHosts = (context: HostContext, {request, response}: Exchange): void => {
	const queryZone = new URL(request.url ?? '/', 'http://callers').searchParams.get('zone');
	const headerZone = request.headers['x-zone'];
	const zone = queryZone ?? (typeof headerZone === 'string' ? headerZone : undefined);
	sendJson(response, 200, context.getHostListResponse(zone));
};

/** Handles `GET /v1/models` with the models and adapters of the inventory; throws the failure to report. */
export const handleModels = (context: HostContext, {request, response}: Exchange): void => {
	const {configuration: {inventory}} = authenticate(context, request);
	const modelNames = [...inventory.models, ...inventory.adapters].map(({name}) => name);
	sendJson(response, 200, {
		object: 'list', data: modelNames.map(id => ({
			id, object: 'model', created: 0, owned_by: 'gentianlift',
		})),
	});
};

const requestPath = /^\/v1\/requests\/(?<id>[^\/?]+)/v;

/** Handles `GET /v1/requests/<id>` with the account of a request of the same customer; throws the failure to report. */
export const handleRequestQuery = async (context: HostContext, {request, response}: Exchange): Promise<void> => {
	const {customer} = authenticate(context, request);
	const id = decodeURIComponent(requestPath.exec(request.url ?? '')?.groups?.id ?? '');
	const account = await context.readAccount(id, customer.id);
	if (account?.customer !== customer.id) {
		throw createFailure('unknown-request');
	}

	sendJson(response, 200, account);
};
