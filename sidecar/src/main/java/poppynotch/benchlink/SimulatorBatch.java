package poppynotch.benchlink;

import java.util.List;

/**
 * One batch of the simulator's input, as read.
 *
 * @param number the number that the reply repeats
 * @param nowMs the simulator's time
 * @param parts the events, by instance
 */
record SimulatorBatch(long number, double nowMs, List<Part> parts) {

    /** The events of one instance. */
    record Part(String instance, List<SimulatorEvent> events) {}
}
