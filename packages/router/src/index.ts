export {startHost, type RunningHost} from './host/start-host.js';
export {getRankLimitAt} from './host/overload-monitor.js';
export {
	createGracefulShutdown, type GracefulShutdown, type ShutdownState, type ShutdownSteps,
} from './host/graceful-shutdown.js';
