export * from './limits.js';
export * from './create-quota-owner.js';
export * from './create-quota-client.js';
export * from './create-retry-budgets.js';
