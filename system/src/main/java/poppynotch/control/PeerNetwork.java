package poppynotch.control;

import java.util.List;
import poppynotch.wire.Message;

/** The connections of a core process to the others, as its state machines see them. */
public interface PeerNetwork {

    /** A core process exists, by the settings or by what others say. */
    void know(String address, long nowMs);

    /** Control addresses of all core processes that are known, this one included. */
    List<String> known();

    /** Those that were in contact within a time, this one included. */
    List<String> inContact(long nowMs, long withinMs);

    /** Sends a message; it is lost where there is no connection. */
    void send(String peer, Message message);

    /** Sends a message to all others. */
    void sendToAll(Message message);

    /** The number of the next heartbeat, whose echoes are to be told here. */
    long nextBeat(long nowMs);

    /** A peer has echoed a heartbeat: when that was sent, or -1 if it is not known any more. */
    long echoed(String peer, long beat);

    /** Time has passed. */
    void tick(long nowMs);
}
