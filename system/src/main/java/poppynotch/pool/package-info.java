/**
 * Load balancing at one edge: which server a request is sent to, how many requests it may have in
 * flight there, retries, and the quotas of tenants. The classes are state machines without I/O;
 * callers pass the time and report what happened. All of them belong to the edge's event loop.
 */
package poppynotch.pool;
