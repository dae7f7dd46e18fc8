/**
 * The messages between processes of the router fleet, their binary encoding, and their framing on
 * TCP connections.
 */
package poppynotch.wire;
