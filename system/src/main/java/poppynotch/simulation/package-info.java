/**
 * Deterministic simulation of the control plane: drawn schedules of faults run on the real control
 * code with a virtual network, virtual disks and a virtual clock.
 *
 * <p>{@link poppynotch.simulation.SimulationRun} runs a {@link
 * poppynotch.simulation.FaultSchedule}; {@code InvariantChecker} checks the guarantees meanwhile.
 */
package poppynotch.simulation;
