import {createFailure} from '@gentianlift/errors';
import {z} from 'zod';

const message = z.looseObject({
	role: z.string(),
	content: z.union([z.string(), z.array(z.looseObject({})), z.null()]).optional(),
});

const chatBody = z.looseObject({
	model: z.string().min(1),
	messages: z.array(message).min(1),
	stream: z.boolean().nullish(),
	max_tokens: z.number().int().positive().nullish(),
	max_completion_tokens: z.number().int().positive().nullish(),
	n: z.literal(1).nullish(),
});

/** Body of a chat completion request; fields that the router doesn't use are passed on to the engine. */
export type ChatBody = z.infer<typeof chatBody>;

const decoder = new TextDecoder('utf-8', {fatal: true});

/** Parses the text of a JSON body; throws `bad-json`. */
export const parseJson = (body: Uint8Array): unknown => {
	try {
		return JSON.parse(decoder.decode(body)) as unknown;
	} catch (error) {
		throw createFailure('bad-json', {detail: error instanceof Error ? error.message : ''});
	}
};

/** Parses the body of a chat completion request; throws `bad-json`, or `bad-request` with each invalid field. */
export const parseChatBody = (body: Uint8Array): ChatBody => {
	const parsed = chatBody.safeParse(parseJson(body));
	if (parsed.success) {
		return parsed.data;
	}

	const faults = parsed.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`);
	throw createFailure('bad-request', {detail: faults.join('; ')});
};
