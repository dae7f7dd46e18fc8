package poppynotch.control;

import java.util.List;
import poppynotch.wire.Message;

/**
 * The network to the other control-plane replicas, as used by one replica's state machines. All
 * addresses are control addresses, {@code HOST:PORT}. Called from the thread of the {@link
 * ControlPlaneNode}.
 */
public interface PeerNetwork {

    /**
     * Adds a replica that the settings or another replica list. It is removed if it is out of
     * contact and not added again for some time.
     */
    void addPeer(String address, long nowMs);

    /** The addresses of all replicas that are known, this one included. */
    List<String> knownReplicas();

    /** The replicas whose last contact is no older than {@code withinMs}, this one included. */
    List<String> reachableReplicas(long nowMs, long withinMs);

    /** Sends a message to a peer; it is lost if there is no connection. */
    void send(String peer, Message message);

    /** Sends a message to all peers. */
    void sendToAll(Message message);

    /** Assigns the next heartbeat's sequence number, and records its time for the replies. */
    long nextHeartbeatSequence(long nowMs);

    /**
     * Records that a peer has replied to a heartbeat.
     *
     * @return when that heartbeat was sent, in ms; -1 if it is no longer tracked
     */
    long onHeartbeatReply(String peer, long sequence);

    /** Opens, closes and removes connections as necessary. */
    void tick(long nowMs);
}
