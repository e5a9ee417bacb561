import type {ClassifiedRequest, Milliseconds} from '@gentianlift/types';
import type {HostParts} from '../parts.js';

/** Measures one answer against the targets of its class. */
export type Latencies = {
	/** Tells that output has come. */
	mark: () => void;
	/** Tells that the answer has ended. */
	end: (isWhole: boolean) => void;
};

/** Starts to measure an answer; it records histograms in milliseconds and whether the targets were met, by class. */
export const recordLatencies = ({clock, metrics}: HostParts, request: ClassifiedRequest): Latencies => {
	const {className, targets, arrivedAt} = request;
	const labels = {class: className};
	let firstAt: Milliseconds | undefined;
	let lastAt: Milliseconds = 0;
	let marks = 0;

	const getMissed = (whole: Milliseconds): string | undefined => {
		const first = (firstAt ?? lastAt) - arrivedAt;
		if (targets.firstToken !== undefined && first > targets.firstToken) {
			return 'first-token';
		}

		const between = marks > 1 && firstAt !== undefined ? (lastAt - firstAt) / (marks - 1) : 0;
		if (targets.betweenTokens !== undefined && between > targets.betweenTokens) {
			return 'between-tokens';
		}

		return targets.whole !== undefined && whole > targets.whole ? 'whole' : undefined;
	};

	return {
		mark() {
			lastAt = clock.now();
			marks++;
			if (firstAt === undefined) {
				firstAt = lastAt;
				metrics.record('first_token_milliseconds', lastAt - arrivedAt, labels);
			}
		},
		end(isWhole) {
			const whole = clock.now() - arrivedAt;
			if (!isWhole) {
				metrics.count('answers_total', {...labels, result: 'not-whole'});
				return;
			}

			metrics.record('whole_milliseconds', whole, labels);
			const missed = getMissed(whole);
			metrics.count('answers_total', {...labels, result: missed === undefined ? 'attained' : `late-${missed}`});
		},
	};
};
