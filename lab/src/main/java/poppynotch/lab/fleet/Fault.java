package poppynotch.lab.fleet;

import java.util.List;

/**
 * One thing that goes wrong in a fleet.
 *
 * @param at when it begins, in milliseconds from the start
 * @param kind what it is
 * @param who the members that it strikes, by number
 * @param lasts how long, in milliseconds; for a kill, until a new process of the name starts, or 0
 *     for never
 * @param value of a loss or duplication its part, of a delay its milliseconds, else nothing
 */
public record Fault(double at, Kind kind, List<Integer> who, double lasts, double value) {

    /** What can go wrong. */
    public enum Kind {
        /** The processes end without a word. */
        KILL,
        /** The processes say that they go, and end. */
        LEAVE,
        /** The processes stand still, and go on. */
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
