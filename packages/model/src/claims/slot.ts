import {
	isGone, type ClaimRecord, type Fault, type Operation, type Reply, type State,
} from './state.js';

/** A claim after an operation, and the decision on it if there is one. */
export type Step = {claim?: ClaimRecord | undefined; decision?: Reply['decision'] | undefined};

const getOwnDecision = (claim: ClaimRecord): Reply['decision'] | undefined => {
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

const createStart = (before: ClaimRecord | undefined, attempt: number, fault: Fault): Step => {
	const givenUp = before?.outcome === 'not-run' && fault !== 'forget-given-up' ? addGivenUp(before, before.attempt) : [];
	return {claim: {attempt, outcome: 'claimed', givenUp}, decision: 'start'};
};

const applyClaim = (state: State, claim: ClaimRecord | undefined, attempt: number, fault: Fault): Step => {
	if (claim === undefined) {
		return createStart(claim, attempt, fault);
	}

	if (claim.givenUp.includes(attempt)) {
		return {claim};
	}

	if (claim.attempt === attempt) {
		return {claim, decision: getOwnDecision(claim)};
	}

	const holder = state.attempts[claim.attempt];
	const isHolderGone = holder !== undefined && isGone(state, holder);
	switch (claim.outcome) {
		case 'claimed': {
			return isHolderGone && fault === 'settle-for-gone'
				? createStart(claim, attempt, fault)
				: {claim, decision: isHolderGone ? 'unknown' : 'in-progress'};
		}

		case 'finished': {
			return {claim, decision: 'done'};
		}

		case 'unknown': {
			return {claim, decision: 'unknown'};
		}

		case 'not-run': {
			return createStart(claim, attempt, fault);
		}
	}
};

const applySettlement = (claim: ClaimRecord | undefined, {attempt, outcome}: Extract<Operation, {kind: 'settle'}>, fault: Fault): Step => {
	if (claim === undefined) {
		return outcome === 'not-run' ? {claim: {attempt, outcome, givenUp: []}} : {};
	}

	if (claim.attempt !== attempt && outcome === 'not-run' && fault === 'none') {
		return {claim: {...claim, givenUp: addGivenUp(claim, attempt)}};
	}

	const isOpen = claim.attempt === attempt && claim.outcome === 'claimed';
	return {claim: isOpen || fault === 'settle-twice' ? {...claim, attempt, outcome} : claim};
};

/** Applies an operation to the claim of the key. */
export const applyOperation = (state: State, claim: ClaimRecord | undefined, operation: Operation, fault: Fault): Step =>
	operation.kind === 'claim' ? applyClaim(state, claim, operation.attempt, fault) : applySettlement(claim, operation, fault);
