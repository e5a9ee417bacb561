/** Name of a router host, from its settings; unique in the fleet. */
export type HostId = string;

/** Incarnation number of a host's process: the time of its start in milliseconds since the epoch. It normally increases with each restart, but the wall clock may step back. */
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

/** Position of a tier in the order of priority: 0 outranks 1, and so on; fractions stand between two tiers. */
export type Rank = number;

/** Name of a model or an adapter in the inventory. */
export type ModelName = string;

/** Identifier that the router assigns to a caller's request, unique across all hosts: `<host>.<incarnation>.<sequence>`. */
export type RequestId = string;

/** Name of a group of upstreams whose requests are scheduled by one host, the group's owner. */
export type GroupId = string;

/** A duration or a point in time, in milliseconds. */
export type Milliseconds = number;

/** An IP address and a port in the form `address:port`. */
export type Address = string;
