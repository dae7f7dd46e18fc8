package poppynotch.lab.fleet;

import java.util.List;

/**
 * A fault that is injected into a simulated fleet. Stored as YAML by the names of its components.
 *
 * @param at when it begins, in milliseconds from the start
 * @param kind what it is
 * @param who the numbers of the members that it affects
 * @param lasts how long, in milliseconds; for a kill, until a new process of the name starts, or 0
 *     for never
 * @param value of a loss or duplication the fraction of messages, of a delay the largest added
 *     milliseconds; else unused
 */
public record Fault(double at, Kind kind, List<Integer> who, double lasts, double value) {

    /** The kind of a fault; the names are stored. */
    public enum Kind {
        /** The processes end without notice. */
        KILL,
        /** The processes announce that they leave, and end. */
        LEAVE,
        /** The processes are paused, and resume. */
        PAUSE,
        /** Nothing passes between these and the others. */
        PARTITION,
        /** Nothing passes from these to the others, though from the others to these. */
        MUTE,
        /** Nothing passes from the others to these, though from these to the others. */
        DEAF,
        /** Nothing passes from the first of these to the second. */
        ONE_WAY,
        /** Everybody's datagrams get lost. */
        LOSS,
        /** Everybody's messages take longer. */
        DELAY,
        /** Everybody's datagrams come twice. */
        DUPLICATION
    }

    double endsAt() {
        return at + lasts;
    }

    Fault lasting(double ms) {
        return new Fault(at, kind, who, ms, value);
    }
}
