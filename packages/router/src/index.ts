export {startHost, type RunningHost} from './host/start-host.js';
export {getRankLimitAt} from './host/overload.js';
export {
	createGracefulStop, type GracefulStop, type StopState, type StopSteps,
} from './host/graceful-stop.js';
