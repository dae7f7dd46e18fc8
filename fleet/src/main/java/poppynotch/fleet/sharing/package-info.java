/**
 * State that the processes of a fleet share: observations of servers, from which unhealthy ones are
 * found, and tenants' quotas.
 *
 * <p>{@link poppynotch.fleet.sharing.SharedState} is the entry point, a state machine without I/O
 * and without a clock. What it makes is advice only, with a bounded validity.
 */
package poppynotch.fleet.sharing;
