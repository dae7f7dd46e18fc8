package poppynotch.fleet.membership;

import java.util.List;

/**
 * The services that {@link Membership} needs of its host: sending messages, seed addresses,
 * notifications and logging. Called on the thread that calls {@link Membership}; an implementation
 * must not call back into it.
 */
public interface MembershipHost {

    /**
     * Sends a message, without a guarantee that it arrives.
     *
     * @param address IP:port
     * @param overConnection whether to send it over a connection, as it may be longer than a
     *     datagram
     */
    void send(String address, Message message, boolean overConnection);

    /** Addresses at which members may be found; read anew each time, as they may change. */
    List<String> seedAddresses();

    /**
     * Called after the stored update about a member was replaced.
     *
     * @param before the previous update about it, or null for a new member
     * @param current the update that is stored now
     */
    void onMemberChanged(MemberUpdate before, MemberUpdate current);

    /** Logs one line for operators. */
    void log(String line);
}
