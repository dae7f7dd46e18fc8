package poppynotch.fleet.membership;

import java.nio.ByteBuffer;

/**
 * State other than membership that processes share by piggybacking it on membership messages.
 *
 * <p>A payload is carried by acknowledgements of probes only: the prober knows how long ago it sent
 * the probe, which bounds the payload's transit time without comparing the clocks of two processes.
 * Questions to one member, and their answers, are messages of their own, which may be lost.
 *
 * <p>Called by {@link Membership}, on its thread. Times are in milliseconds on the clock that is
 * passed to {@link Membership}.
 */
public interface PiggybackPayload {

    /** A payload that shares no state. */
    PiggybackPayload NONE = new PiggybackPayload() {};

    /**
     * Returns the payload of the next acknowledgement, or {@link Message#EMPTY_PAYLOAD}.
     *
     * @param maxBytes maximum size
     * @param memberCount size of the fleet, which determines the number of retransmissions
     */
    default ByteBuffer nextPayload(double now, int maxBytes, int memberCount) {
        return Message.EMPTY_PAYLOAD;
    }

    /**
     * Handles the payload of an acknowledgement.
     *
     * @param transitMs upper bound of the time for which it was in transit
     */
    default void onPayload(double now, ByteBuffer received, double transitMs) {
        // Nothing is shared.
    }

    /**
     * Handles a question from another member.
     *
     * @param from name of the asking member
     * @param sequence number by which that member matches the answer to its question
     * @return the answer, or {@link Message#EMPTY_PAYLOAD} if there is none, or if {@link
     *     Membership#sendAnswer} sends it later
     */
    default ByteBuffer onQuestion(double now, String from, long sequence, ByteBuffer question) {
        return Message.EMPTY_PAYLOAD;
    }

    /**
     * Handles an answer from another member. It may arrive twice, or match no question.
     *
     * @param sequence the number that {@link Membership#sendQuestion} returned; only this proves
     *     that the question was asked
     */
    default void onAnswer(double now, String from, long sequence, ByteBuffer answer) {
        // No question was sent.
    }
}
