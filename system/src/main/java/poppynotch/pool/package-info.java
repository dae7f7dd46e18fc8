/**
 * Load balancing at one edge: the choice of a server for each request, the number of requests in
 * flight at a server, retries, and the quotas of tenants. The classes are state machines without
 * I/O; callers pass the time and report events. All of them are confined to the edge's event loop.
 */
package poppynotch.pool;
