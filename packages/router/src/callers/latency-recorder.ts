import type {ClassifiedRequest, Milliseconds} from '@gentianlift/types';
import type {HostContext} from '../host-context.js';

/** Measures one response against the latency targets of its class. */
export type LatencyRecorder = {
	/** Records that output has arrived. */
	recordOutput: () => void;
	/** Records that the response has ended, completely or not. */
	recordEnd: (isComplete: boolean) => void;
};

/** Starts to measure a response. Records latency histograms in milliseconds, and whether the targets were met, by class. */
export const createLatencyRecorder = ({clock, metrics}: HostContext, request: ClassifiedRequest): LatencyRecorder => {
	const {className, targets, arrivedAt} = request;
	const labels = {class: className};
	let firstOutputAt: Milliseconds | undefined;
	let lastOutputAt: Milliseconds = 0;
	let outputCount = 0;

	const getMissedTarget = (totalDuration: Milliseconds): string | undefined => {
		const timeToFirstToken = (firstOutputAt ?? lastOutputAt) - arrivedAt;
		if (targets.firstToken !== undefined && timeToFirstToken > targets.firstToken) {
			return 'first-token';
		}

		const meanInterTokenLatency = outputCount > 1 && firstOutputAt !== undefined ? (lastOutputAt - firstOutputAt) / (outputCount - 1) : 0;
		if (targets.betweenTokens !== undefined && meanInterTokenLatency > targets.betweenTokens) {
			return 'between-tokens';
		}

		return targets.whole !== undefined && totalDuration > targets.whole ? 'whole' : undefined;
	};

	return {
		recordOutput() {
			lastOutputAt = clock.now();
			outputCount++;
			if (firstOutputAt === undefined) {
				firstOutputAt = lastOutputAt;
				metrics.record('first_token_milliseconds', lastOutputAt - arrivedAt, labels);
			}
		},
		recordEnd(isComplete) {
			const totalDuration = clock.now() - arrivedAt;
			if (!isComplete) {
				metrics.count('answers_total', {...labels, result: 'not-whole'});
				return;
			}

			metrics.record('whole_milliseconds', totalDuration, labels);
			const missedTarget = getMissedTarget(totalDuration);
			metrics.count('answers_total', {...labels, result: missedTarget === undefined ? 'attained' : `late-${missedTarget}`});
		},
	};
};
