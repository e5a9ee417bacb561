export {createClaimClient, type ClaimClient, type ClaimClientOptions} from './commands/claim-client.js';
export {createClaimOwner, type ClaimOwner, type ClaimOwnerOptions} from './commands/claim-owner.js';
export type {AccountEvent} from './queries/account-event.js';
export {createAccounts, type Accounts, type AccountsOptions} from './queries/accounts.js';
export {getClaimAccount} from './queries/claim-account.js';
export type {ClaimRead} from './queries/read-claim.js';
export {getKeyTime} from './slots/key-time.js';
export {claimLimits, type ClaimLimits} from './slots/limits.js';
export {createBookingId} from './slots/slot.js';
