import type {Milliseconds} from '@gentianlift/types';
import {getRepeatedPrefillCost} from './repeated-prefill.js';

/** What is sent between availability zones for a call that leaves its zone. */
export type TransferSize = {
	/** Bytes of the request's body. */
	bodyBytes: number;
	/** Output tokens that are expected; 0 without a prompt. */
	outputTokens: number;
};

/** Additional time of a request and its answer between two availability zones of a region. */
const crossZoneRoundTrip: Milliseconds = 3;
/** Bytes between zones that are worth a millisecond of time to first token. */
const bytesPerMillisecond = 1000;
/** Bytes of a streamed answer for each output token, with the framing of events. */
const answerBytesPerToken = 12;

/** Returns the bytes that a call which leaves its zone is expected to send between zones, both ways. */
export const getTransferBytes = ({bodyBytes, outputTokens}: TransferSize): number => bodyBytes + (outputTokens * answerBytesPerToken);

/** Returns the cost of sending a call to another zone, in milliseconds of time to first token. */
export const getTransferCost = (size: TransferSize): Milliseconds => crossZoneRoundTrip + (getTransferBytes(size) / bytesPerMillisecond);

/**
 * Returns the probability with which a call prefills shared parts in its own zone that are cached in another one. It is
 * the cost of the transfer in relation to that of the prefill, so that on average a zone gets its own copy once the
 * transfers have cost as much as the copy does, without a count of the demand.
 */
export const getCopyProbability = (transferCost: Milliseconds, {tokens, prefillRate}: {tokens: number; prefillRate: number}): number =>
	tokens <= 0 ? 1 : Math.min(1, transferCost / getRepeatedPrefillCost(tokens, prefillRate));
