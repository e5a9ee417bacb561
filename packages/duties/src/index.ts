export {createDuties, type DutiesOptions} from './duties.js';
export type * from './duty.js';
export type * from './duty-view.js';
export type * from './operators-service.js';
export {dutyPrefix, parseDutyRecord} from './subject-key.js';
