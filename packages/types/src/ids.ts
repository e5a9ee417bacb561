/** Name of an entry host, unique in the fleet, from its settings. */
export type HostId = string;

/** Increases each time a process of the same host starts: milliseconds since the epoch at its start. */
export type Incarnation = number;

/** Name of an availability zone. */
export type Zone = string;

/** Name of a model engine or an application service instance in the inventory. */
export type UpstreamId = string;

/** Name of a customer in the inventory. */
export type CustomerId = string;

/** Name of a class of requests in the rules. */
export type ClassName = string;

/** Name of a tier in the rules. */
export type TierName = string;

/** Position of a tier: 0 outranks 1, and so on. */
export type Rank = number;

/** Name of a model or an adapter in the inventory. */
export type ModelName = string;

/** Identifier that the router gives to a caller's request, unique over all hosts: `<host>.<incarnation>.<sequence>`. */
export type RequestId = string;

/** Name of a group of upstreams whose work one host orders. */
export type GroupId = string;

/** A span of time or a moment, in milliseconds. */
export type Milliseconds = number;

/** An IP address and a port, written `address:port`. */
export type Address = string;
