/** The data plane: clients in, servers out. */
package poppynotch.router;
