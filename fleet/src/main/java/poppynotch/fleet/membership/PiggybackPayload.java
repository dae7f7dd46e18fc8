package poppynotch.fleet.membership;

import java.nio.ByteBuffer;

/**
 * What processes tell each other beside membership. State rides on membership's answers, and on
 * answers alone: whoever asked knows how long ago that was, which bounds how long the answer was
 * under way, with no clock compared between processes. Questions to one member are sent by
 * themselves, and may be lost.
 */
public interface PiggybackPayload {

    /** Takes nothing along. */
    PiggybackPayload NONE = new PiggybackPayload() {};

    /**
     * What an answer takes along.
     *
     * @param bytes room for it
     * @param members of the fleet, which says how often news must be told on
     */
    default ByteBuffer next(double now, int bytes, int members) {
        return Message.NOTHING;
    }

    /**
     * What an answer brought.
     *
     * @param transitMs it was under way for so long at most
     */
    default void hear(double now, ByteBuffer told, double transitMs) {
        // Nothing is kept.
    }

    /**
     * A member asks something.
     *
     * @param from its name
     * @param sequence the number under which it waits for an answer
     * @return the answer, or {@link Message#NOTHING}: none, or one that {@link Membership#tell}
     *     sends later
     */
    default ByteBuffer asked(double now, String from, long sequence, ByteBuffer question) {
        return Message.NOTHING;
    }

    /**
     * A member answers.
     *
     * @param sequence what {@link Membership#ask} returned; nothing else says that it was ever
     *     asked
     */
    default void told(double now, String from, long sequence, ByteBuffer answer) {
        // Nothing was asked.
    }
}
