package poppynotch.lab.fleet;

import poppynotch.fleet.membership.Message;

/**
 * Changes or drops messages between members and the network of a {@link VirtualFleet}, to simulate
 * members with a defect. Called on the thread that runs the fleet.
 */
public interface Interposer {

    /** Changes nothing. */
    Interposer NONE = new Interposer() {};

    /** Returns the message to send in place of one, or null to drop it. */
    default Message sent(int from, Message message) {
        return message;
    }

    /** Returns the message to deliver in place of one, or null to drop it. */
    default Message received(int to, Message message) {
        return message;
    }
}
