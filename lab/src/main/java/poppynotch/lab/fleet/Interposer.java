package poppynotch.lab.fleet;

import poppynotch.fleet.membership.Message;

/** Stands between members and the network, to play a member with a fault in its program. */
public interface Interposer {

    /** Changes nothing. */
    Interposer NONE = new Interposer() {};

    /** What goes out in place of a message, or null for nothing. */
    default Message sent(int from, Message message) {
        return message;
    }

    /** What a member gets in place of a message, or null for nothing. */
    default Message received(int to, Message message) {
        return message;
    }
}
