/**
 * Deterministic simulation of the control plane: randomly drawn fault schedules run against the
 * real control-plane code with a virtual network, virtual disks and a virtual clock.
 *
 * <p>{@link poppynotch.simulation.SimulationRun} runs a {@link
 * poppynotch.simulation.FaultSchedule}, during which {@code InvariantChecker} checks the
 * guarantees.
 */
package poppynotch.simulation;
