/** HTTP and TCP parts that the processes of the router fleet share. */
package poppynotch.transport;
