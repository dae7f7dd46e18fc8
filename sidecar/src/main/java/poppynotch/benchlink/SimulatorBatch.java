package poppynotch.benchlink;

import java.util.List;

/**
 * One batch of the simulator's input.
 *
 * @param number the batch number, which the reply repeats
 * @param nowMs the simulator's time
 * @param parts the events of each instance
 */
record SimulatorBatch(long number, double nowMs, List<Part> parts) {

    /** The events of one instance. */
    record Part(String instance, List<SimulatorEvent> events) {}
}
