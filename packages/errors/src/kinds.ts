import type {RunState} from '@gentianlift/types';

/** When a caller may send the request again. */
export const retryAdvice = ['never', 'now', 'later', 'same-key'] as const;
/** One of `retryAdvice`: `same-key` asks for the outcome under the same idempotency key. */
export type RetryAdvice = typeof retryAdvice[number];

/** What a caller is told for an error kind. */
export type ErrorAnswer = {
	/** HTTP status. */
	status: number;
	/** Whether the request ran. */
	ran: RunState;
	retry: RetryAdvice;
	/** Type in the OpenAI-style error body. */
	type: 'invalid_request_error' | 'authentication_error' | 'rate_limit_error' | 'server_error';
	message: string;
};

/** The closed list of error kinds, each with its answer. */
export const errorTable = {
	'bad-json': getInvalid(400, 'The body is not valid JSON.'),
	'bad-request': getInvalid(400, 'The request is not valid.'),
	'repeated-header': getInvalid(400, 'A header that may be given once was repeated.'),
	'headers-too-large': getInvalid(431, 'The headers are too large.'),
	'body-too-large': getInvalid(413, 'The body is too large.'),
	'body-timeout': {
		status: 408, ran: 'not-run', retry: 'now', type: 'invalid_request_error', message: 'The request took too long to arrive.',
	},
	'missing-key': {
		status: 401, ran: 'not-run', retry: 'never', type: 'authentication_error', message: 'No API key was given.',
	},
	'wrong-key': {
		status: 401, ran: 'not-run', retry: 'never', type: 'authentication_error', message: 'The API key is not known.',
	},
	'unknown-path': getInvalid(404, 'There is nothing at this path.'),
	'unknown-model': getInvalid(404, 'The model is not known.'),
	'unknown-service': getInvalid(404, 'The service is not known.'),
	'unknown-class': getInvalid(400, 'The class is not known.'),
	'class-not-allowed': getInvalid(403, 'The customer may not use this class.'),
	'unknown-request': {
		status: 404, ran: 'unknown', retry: 'never', type: 'invalid_request_error', message: 'Nothing is known of this request.',
	},
	'customer-rate': getLimited(429, 'The customer\'s rate of requests is used up.'),
	'customer-tokens': getLimited(429, 'The customer\'s rate of tokens is used up.'),
	'customer-concurrency': getLimited(429, 'The customer has too many requests under way.'),
	'deadline-unreachable': getLimited(503, 'The target of the class can no longer be met.'),
	'queue-full': getLimited(503, 'Too many requests are waiting.'),
	'queue-age': getLimited(503, 'The request waited too long.'),
	outranked: getLimited(503, 'Requests of higher tiers take all capacity.'),
	'no-upstream': {
		status: 503, ran: 'not-run', retry: 'later', type: 'server_error', message: 'No upstream can take the request.',
	},
	'host-overloaded': {
		status: 503, ran: 'not-run', retry: 'now', type: 'server_error', message: 'This host is overloaded.',
	},
	'host-stopping': {
		status: 503, ran: 'not-run', retry: 'now', type: 'server_error', message: 'This host is stopping.',
	},
	'not-configured': {
		status: 503, ran: 'not-run', retry: 'later', type: 'server_error', message: 'This host has no configuration yet.',
	},
	'upstream-refused': {
		status: 503, ran: 'not-run', retry: 'later', type: 'server_error', message: 'The upstream refused the request.',
	},
	'upstream-unreachable': {
		status: 502, ran: 'not-run', retry: 'later', type: 'server_error', message: 'The upstream could not be reached.',
	},
	'upstream-rejected': getInvalid(400, 'The upstream rejected the request.'),
	'upstream-failed': {
		status: 502, ran: 'ran', retry: 'later', type: 'server_error', message: 'The upstream failed.',
	},
	'upstream-silent': {
		status: 504, ran: 'unknown', retry: 'later', type: 'server_error', message: 'The upstream went silent.',
	},
	'upstream-reset': {
		status: 502, ran: 'unknown', retry: 'later', type: 'server_error', message: 'The connection to the upstream was lost.',
	},
	'answer-incomplete': {
		status: 502, ran: 'ran', retry: 'later', type: 'server_error', message: 'The answer ended before it was complete.',
	},
	'retries-exhausted': {
		status: 503, ran: 'ran', retry: 'later', type: 'server_error', message: 'The attempts failed and no retry is left.',
	},
	'crashes-upstreams': {
		status: 422, ran: 'ran', retry: 'never', type: 'server_error', message: 'The request crashed the upstreams that ran it.',
	},
	'outcome-unknown': {
		status: 502, ran: 'unknown', retry: 'same-key', type: 'server_error', message: 'It is not known whether the request ran.',
	},
	'in-progress': {
		status: 409, ran: 'unknown', retry: 'same-key', type: 'server_error', message: 'A request with this idempotency key is under way.',
	},
	'suspected-of-crashes': {
		status: 500, ran: 'not-run', retry: 'never', type: 'server_error', message: 'Copies of this request crashed several upstreams.',
	},
	'request-timeout': {
		status: 504, ran: 'unknown', retry: 'later', type: 'server_error', message: 'The request reached the time limit of its route.',
	},
	'key-mismatch': getInvalid(422, 'The idempotency key belongs to another request.'),
	'key-missing': getInvalid(400, 'A non-idempotent request needs an Idempotency-Key header.'),
	'key-invalid': getInvalid(400, 'The Idempotency-Key header is not valid.'),
	'claim-expired': {
		status: 410, ran: 'unknown', retry: 'never', type: 'invalid_request_error', message: 'The idempotency key is too old to tell what became of it.',
	},
	'claims-full': {
		status: 503, ran: 'not-run', retry: 'later', type: 'server_error', message: 'No more claims can be stored.',
	},
	'claims-unavailable': {
		status: 503, ran: 'not-run', retry: 'same-key', type: 'server_error', message: 'The claim could not be stored.',
	},
	'forced-stop': {
		status: 503, ran: 'unknown', retry: 'later', type: 'server_error', message: 'An operator stopped the host.',
	},
	internal: {
		status: 500, ran: 'unknown', retry: 'later', type: 'server_error', message: 'An internal fault.',
	},
} as const satisfies Record<string, ErrorAnswer>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof errorTable;

/** All error kinds, in the order of the table. */
export const errorKinds = Object.keys(errorTable) as ErrorKind[];

function getInvalid(status: number, message: string): ErrorAnswer {
	return {
		status, ran: 'not-run', retry: 'never', type: 'invalid_request_error', message,
	};
}

function getLimited(status: number, message: string): ErrorAnswer {
	return {
		status, ran: 'not-run', retry: 'later', type: 'rate_limit_error', message,
	};
}
