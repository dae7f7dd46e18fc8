/** A complete fleet on loopback addresses, with simulated model servers and clients. */
package poppynotch.demo;
