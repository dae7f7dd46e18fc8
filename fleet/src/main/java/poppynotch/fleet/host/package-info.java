/**
 * Embeds the fleet's membership protocol into a process, on sockets and in real time: {@link
 * poppynotch.fleet.host.FleetHost} with its transport, settings and status for operators.
 */
package poppynotch.fleet.host;
