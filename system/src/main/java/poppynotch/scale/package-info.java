/**
 * Measures what control costs by the size of a fleet: hollow edges and servers beside real
 * processes.
 */
package poppynotch.scale;
