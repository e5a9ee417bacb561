import type {RunState} from '@gentianlift/types';

/** Advice to callers on whether and when to retry a request. */
export const retryAdvice = ['never', 'now', 'later', 'same-key'] as const;
/** One of `retryAdvice`; `same-key` means that a retry with the same idempotency key returns the request's outcome. */
export type RetryAdvice = typeof retryAdvice[number];

/** Status and body of the response for an error kind. */
export type ErrorDefinition = {
	/** HTTP status code. */
	status: number;
	/** Whether the request was executed by an upstream. */
	ran: RunState;
	retry: RetryAdvice;
	/** Error type in the OpenAI-compatible body. */
	type: 'invalid_request_error' | 'authentication_error' | 'rate_limit_error' | 'server_error';
	message: string;
};

/** The complete list of error kinds, each with its response. */
export const errorTable = {
	'bad-json': defineInvalidRequest(400, 'The body is not valid JSON.'),
	'bad-request': defineInvalidRequest(400, 'The request is not valid.'),
	'repeated-header': defineInvalidRequest(400, 'A header that may be given once was repeated.'),
	'headers-too-large': defineInvalidRequest(431, 'The headers are too large.'),
	'body-too-large': defineInvalidRequest(413, 'The body is too large.'),
	'body-timeout': {
		status: 408, ran: 'not-run', retry: 'now', type: 'invalid_request_error', message: 'The request took too long to arrive.',
	},
	'missing-key': {
		status: 401, ran: 'not-run', retry: 'never', type: 'authentication_error', message: 'No API key was given.',
	},
	'wrong-key': {
		status: 401, ran: 'not-run', retry: 'never', type: 'authentication_error', message: 'The API key is not known.',
	},
	'unknown-path': defineInvalidRequest(404, 'There is nothing at this path.'),
	'unknown-model': defineInvalidRequest(404, 'The model is not known.'),
	'unknown-service': defineInvalidRequest(404, 'The service is not known.'),
	'unknown-class': defineInvalidRequest(400, 'The class is not known.'),
	'class-not-allowed': defineInvalidRequest(403, 'The customer may not use this class.'),
	'unknown-request': {
		status: 404, ran: 'unknown', retry: 'never', type: 'invalid_request_error', message: 'Nothing is known of this request.',
	},
	'customer-rate': defineRateLimit(429, 'The customer\'s rate of requests is used up.'),
	'customer-tokens': defineRateLimit(429, 'The customer\'s rate of tokens is used up.'),
	'customer-concurrency': defineRateLimit(429, 'The customer has too many requests under way.'),
	'deadline-unreachable': defineRateLimit(503, 'The target of the class can no longer be met.'),
	'queue-full': defineRateLimit(503, 'Too many requests are waiting.'),
	'queue-age': defineRateLimit(503, 'The request waited too long.'),
	outranked: defineRateLimit(503, 'Requests of higher tiers take all capacity.'),
	'no-upstream': {
		status: 503, ran: 'not-run', retry: 'later', type: 'server_error', message: 'No upstream can take the request.',
	},
	'stream-unknown': {
		status: 503, ran: 'not-run', retry: 'later', type: 'server_error', message: 'It is not known which version began the stream.',
	},
	'stream-version-gone': {
		status: 503, ran: 'not-run', retry: 'later', type: 'server_error', message: 'No upstream of the version that began the stream can take it.',
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
	misdirected: {
		status: 421, ran: 'not-run', retry: 'now', type: 'server_error', message: 'This host can\'t take the request that another one has forwarded.',
	},
	'upstream-refused': {
		status: 503, ran: 'not-run', retry: 'later', type: 'server_error', message: 'The upstream refused the request.',
	},
	'upstream-unreachable': {
		status: 502, ran: 'not-run', retry: 'later', type: 'server_error', message: 'The upstream could not be reached.',
	},
	'upstream-rejected': defineInvalidRequest(400, 'The upstream rejected the request.'),
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
		status: 500, ran: 'not-run', retry: 'never', type: 'server_error', message: 'Requests that share a part with this one crashed several upstreams, or copies of it did.',
	},
	'request-timeout': {
		status: 504, ran: 'unknown', retry: 'later', type: 'server_error', message: 'The request reached the time limit of its route.',
	},
	'key-mismatch': defineInvalidRequest(422, 'The idempotency key belongs to another request.'),
	'key-missing': defineInvalidRequest(400, 'A non-idempotent request needs an Idempotency-Key header.'),
	'key-invalid': defineInvalidRequest(400, 'The Idempotency-Key header is not valid.'),
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
		status: 503, ran: 'unknown', retry: 'later', type: 'server_error', message: 'The host had to stop before the request was complete.',
	},
	internal: {
		status: 500, ran: 'unknown', retry: 'later', type: 'server_error', message: 'An internal fault.',
	},
} as const satisfies Record<string, ErrorDefinition>;

/** One of the kinds in `errorTable`. */
export type ErrorKind = keyof typeof errorTable;

/** All error kinds, in the order of `errorTable`. */
export const errorKinds = Object.keys(errorTable) as ErrorKind[];

function defineInvalidRequest(status: number, message: string): ErrorDefinition {
	return {
		status, ran: 'not-run', retry: 'never', type: 'invalid_request_error', message,
	};
}

function defineRateLimit(status: number, message: string): ErrorDefinition {
	return {
		status, ran: 'not-run', retry: 'later', type: 'rate_limit_error', message,
	};
}
