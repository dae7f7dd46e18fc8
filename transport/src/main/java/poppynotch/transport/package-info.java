/** HTTP parts that the sidecar in service and the router fleet share. */
package poppynotch.transport;
