import {
	isIncarnationEnded, type ClaimRecord, type Fault, type Operation, type Reply, type State,
} from './state.js';

/** Claim after an operation, and the decision returned to the attempt if there is one. */
export type OperationResult = {claim?: ClaimRecord | undefined; decision?: Reply['decision'] | undefined};

const getRepeatedDecision = (claim: ClaimRecord): Reply['decision'] | undefined => {
	switch (claim.outcome) {
		case 'claimed': {
			return 'start';
		}

		case 'finished': {
			return 'done';
		}

		case 'unknown': {
			return 'unknown';
		}

		case 'not-run': {
			return undefined;
		}
	}
};

const addGivenUp = ({givenUp}: ClaimRecord, attempt: number): number[] => [...new Set([...givenUp, attempt])].toSorted((left, right) => left - right);

const startAttempt = (before: ClaimRecord | undefined, attempt: number, fault: Fault): OperationResult => {
	const givenUp = before?.outcome === 'not-run' && fault !== 'forget-given-up' ? addGivenUp(before, before.attempt) : [];
	return {claim: {attempt, outcome: 'claimed', givenUp}, decision: 'start'};
};

const applyClaim = (state: State, claim: ClaimRecord | undefined, attempt: number, fault: Fault): OperationResult => {
	if (claim === undefined) {
		return startAttempt(claim, attempt, fault);
	}

	if (claim.givenUp.includes(attempt)) {
		return {claim};
	}

	if (claim.attempt === attempt) {
		return {claim, decision: getRepeatedDecision(claim)};
	}

	const holder = state.attempts[claim.attempt];
	const hasHolderCrashed = holder !== undefined && isIncarnationEnded(state, holder);
	switch (claim.outcome) {
		case 'claimed': {
			return hasHolderCrashed && fault === 'settle-for-gone'
				? startAttempt(claim, attempt, fault)
				: {claim, decision: hasHolderCrashed ? 'unknown' : 'in-progress'};
		}

		case 'finished': {
			return {claim, decision: 'done'};
		}

		case 'unknown': {
			return {claim, decision: 'unknown'};
		}

		case 'not-run': {
			return startAttempt(claim, attempt, fault);
		}
	}
};

const applySettlement = (claim: ClaimRecord | undefined, {attempt, outcome}: Extract<Operation, {kind: 'settle'}>, fault: Fault): OperationResult => {
	if (claim === undefined) {
		return outcome === 'not-run' ? {claim: {attempt, outcome, givenUp: []}} : {};
	}

	if (claim.attempt !== attempt && outcome === 'not-run' && fault === 'none') {
		return {claim: {...claim, givenUp: addGivenUp(claim, attempt)}};
	}

	const isOpen = claim.attempt === attempt && claim.outcome === 'claimed';
	return {claim: isOpen || fault === 'settle-twice' ? {...claim, attempt, outcome} : claim};
};

/** Applies an operation to the claim of the key, as the slot writer does. */
export const applyOperation = (state: State, claim: ClaimRecord | undefined, operation: Operation, fault: Fault): OperationResult =>
	operation.kind === 'claim' ? applyClaim(state, claim, operation.attempt, fault) : applySettlement(claim, operation, fault);
