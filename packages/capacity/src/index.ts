export {startCapacityOrders, type OrderOptions} from './order-upstreams.js';
export {getScaledServices, getZones, type ScaledService} from './watched-service.js';
