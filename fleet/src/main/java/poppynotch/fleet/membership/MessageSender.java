package poppynotch.fleet.membership;

import java.util.List;

/** What the protocol asks of whoever hosts it; nothing here may call back into the protocol. */
public interface MessageSender {

    /**
     * Sends a message; it may be lost, and nobody tells.
     *
     * @param address IP:port
     * @param whole sent over a connection, as it may be longer than a datagram
     */
    void send(String address, Message message, boolean whole);

    /** Addresses at which members may be found; read anew each time, so that a file may change. */
    List<String> seeds();

    /**
     * What is held of a member has changed; {@code now} is what is held, {@code before} null for a
     * new one.
     */
    void changed(MemberUpdate before, MemberUpdate now);

    /** Something that operators should see, in one line. */
    void say(String line);
}
