import type {ClassifiedRequest, Milliseconds} from '@gentianlift/types';
import type {HostContext} from '../host-context.js';

/** Measures one answer against the targets of its class. */
export type LatencyRecorder = {
	/** Tells that output has come. */
	recordOutput: () => void;
	/** Tells that the answer has ended. */
	recordEnd: (isWhole: boolean) => void;
};

/** Starts to measure an answer; it records histograms in milliseconds and whether the targets were met, by class. */
export const createLatencyRecorder = ({clock, metrics}: HostContext, request: ClassifiedRequest): LatencyRecorder => {
	const {className, targets, arrivedAt} = request;
	const labels = {class: className};
	let firstAt: Milliseconds | undefined;
	let lastAt: Milliseconds = 0;
	let outputCount = 0;

	const getMissedTarget = (totalDuration: Milliseconds): string | undefined => {
		const timeToFirstToken = (firstAt ?? lastAt) - arrivedAt;
		if (targets.firstToken !== undefined && timeToFirstToken > targets.firstToken) {
			return 'first-token';
		}

		const meanInterTokenLatency = outputCount > 1 && firstAt !== undefined ? (lastAt - firstAt) / (outputCount - 1) : 0;
		if (targets.betweenTokens !== undefined && meanInterTokenLatency > targets.betweenTokens) {
			return 'between-tokens';
		}

		return targets.whole !== undefined && totalDuration > targets.whole ? 'whole' : undefined;
	};

	return {
		recordOutput() {
			lastAt = clock.now();
			outputCount++;
			if (firstAt === undefined) {
				firstAt = lastAt;
				metrics.record('first_token_milliseconds', lastAt - arrivedAt, labels);
			}
		},
		recordEnd(isWhole) {
			const totalDuration = clock.now() - arrivedAt;
			if (!isWhole) {
				metrics.count('answers_total', {...labels, result: 'not-whole'});
				return;
			}

			metrics.record('whole_milliseconds', totalDuration, labels);
			const missedTarget = getMissedTarget(totalDuration);
			metrics.count('answers_total', {...labels, result: missedTarget === undefined ? 'attained' : `late-${missedTarget}`});
		},
	};
};
