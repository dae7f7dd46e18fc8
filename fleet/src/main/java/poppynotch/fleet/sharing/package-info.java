/**
 * State that the processes of a fleet share: observations of servers, by which unhealthy servers
 * are detected, and tenants' quotas.
 *
 * <p>{@link poppynotch.fleet.sharing.SharedState} is the entry point, a state machine without I/O
 * and without a clock. Its results are advice only, with a bounded validity.
 */
package poppynotch.fleet.sharing;
