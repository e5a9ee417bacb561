import type {Settings} from '@gentianlift/types';

/** Whether a host says that it is ready, at its operators' listener. */
export const isReady = async ({operatorAddress}: Pick<Settings, 'operatorAddress'>): Promise<boolean> => {
	try {
		const answer = await fetch(`http://${operatorAddress}/ready`);
		await answer.body?.cancel();
		return answer.ok;
	} catch {
		return false;
	}
};
