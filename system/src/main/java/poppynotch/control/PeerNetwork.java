package poppynotch.control;

import java.util.List;
import poppynotch.wire.Message;

/**
 * The network between control-plane replicas as the state machines of one replica see it. All
 * addresses are control addresses, {@code HOST:PORT}. Called from the thread of the {@link
 * ControlPlaneNode}.
 */
public interface PeerNetwork {

    /**
     * Records that a replica exists, by the settings or by what others say. One that is not named
     * again for some time is forgotten.
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

    /** The sequence number for the next heartbeat; its time is remembered for the replies. */
    long nextHeartbeatSequence(long nowMs);

    /**
     * Records that a peer has replied to a heartbeat.
     *
     * @return when that heartbeat was sent, in ms; -1 if that is not remembered any more
     */
    long onHeartbeatReply(String peer, long sequence);

    /** Opens, closes and forgets connections as necessary. */
    void tick(long nowMs);
}
