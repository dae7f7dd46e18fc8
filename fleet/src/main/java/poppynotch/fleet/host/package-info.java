/**
 * Runs the fleet's protocols in a process, on sockets and in real time: {@link
 * poppynotch.fleet.host.FleetHost} with its transport, its settings and its status for operators.
 */
package poppynotch.fleet.host;
