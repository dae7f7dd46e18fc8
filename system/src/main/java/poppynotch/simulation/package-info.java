/**
 * Drawn schedules of disruptions, played on the real control code with a virtual network, disks and
 * clock.
 */
package poppynotch.simulation;
