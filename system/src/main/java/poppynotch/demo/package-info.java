/** A whole fleet on loopback addresses, with stand-ins for servers and clients. */
package poppynotch.demo;
