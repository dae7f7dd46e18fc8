package poppynotch.router;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.wire.Message;

/**
 * One of an edge's connections to the control plane, with one long poll in flight while it is
 * connected. It disconnects from a replica that is unreachable, does not reply in time or has no
 * contact with a quorum; its owner then connects it to another replica. Owned by a {@link
 * ControlClient} and used on its thread only.
 */
final class ControlLink implements ControlConnector.ConnectionListener {

    private static final Logger LOG = LoggerFactory.getLogger(ControlLink.class);

    /**
     * Timeout of a poll. Replicas reply after less than half of this time, even if nothing has
     * changed.
     */
    static final long REPLY_TIMEOUT_MS = 600;

    /** A replica without contact with a quorum for longer than this may be outdated. */
    private static final long MAX_QUORUM_AGE_MS = 1000;

    /** The owner of a link. */
    interface Owner {

        /** Called when a connection is open; the state of the previous one must be discarded. */
        void onConnected(ControlLink link);

        /** Creates the next poll. */
        Message.Poll nextPoll(ControlLink link, long pollNumber);

        /**
         * Called with the reply of a replica that is in contact with a quorum.
         *
         * @param currentMs a time at which the reply was up to date
         */
        void onReply(ControlLink link, Message.PollReply reply, long currentMs);

        /** Called when a replica has failed and the link has disconnected from it. */
        void onFailed(String replica);
    }

    private final int index;
    private final ControlConnector connector;
    private final LongSupplier clock;
    private final Owner owner;

    /** The address of the replica that the link is connected or connecting to, else null. */
    private String replica;

    private ControlConnector.Connection connection;
    private boolean connecting;
    private long pollSentMs;
    private boolean awaitingReply;
    private long pollNumber;

    /** The replica's incarnation and registry version according to its last reply. */
    private long replicaIncarnation;

    private long registryVersion;

    /** The tenants' usage that this edge has reported on the current connection. */
    private final Map<String, Long> reportedUsage = new HashMap<>();

    private final RolloutReportSchedule rolloutReportSchedule = new RolloutReportSchedule();

    /**
     * Creates a disconnected link.
     *
     * @param index identifies the link among those of its owner
     * @param clock milliseconds on a monotonic clock
     */
    ControlLink(int index, ControlConnector connector, LongSupplier clock, Owner owner) {
        this.index = index;
        this.connector = connector;
        this.clock = clock;
        this.owner = owner;
    }

    int index() {
        return index;
    }

    /** The address of the replica that the link is connected or connecting to, else null. */
    String replica() {
        return replica;
    }

    boolean isConnected() {
        return connection != null;
    }

    /** Whether the link is neither connected nor connecting. */
    boolean isDisconnected() {
        return connection == null && !connecting;
    }

    long replicaIncarnation() {
        return replicaIncarnation;
    }

    long registryVersion() {
        return registryVersion;
    }

    /** The schedule of the reports on rollouts for the current connection. */
    RolloutReportSchedule rolloutReportSchedule() {
        return rolloutReportSchedule;
    }

    /** The tenants' usage reported on the current connection; read and updated by the owner. */
    Map<String, Long> reportedUsage() {
        return reportedUsage;
    }

    /** Stores the registry version that the owner has received, for the next poll. */
    void updateRegistryPosition(long newReplicaIncarnation, long newRegistryVersion) {
        replicaIncarnation = newReplicaIncarnation;
        registryVersion = newRegistryVersion;
    }

    /** Connects to a replica. The link must be disconnected. */
    void connect(long nowMs, String address) {
        replica = address;
        connecting = true;
        pollSentMs = nowMs;
        connector.connect(address, this);
    }

    /** Disconnects from the replica if its reply is overdue. */
    void checkTimeout(long nowMs) {
        if (connection != null && awaitingReply && nowMs - pollSentMs > REPLY_TIMEOUT_MS) {
            disconnect("reply timed out");
        }
    }

    @Override
    public void onConnectFailed() {
        connecting = false;
        disconnect("unreachable");
    }

    @Override
    public void onConnected(ControlConnector.Connection newConnection) {
        connecting = false;
        connection = newConnection;
        reportedUsage.clear();
        rolloutReportSchedule.reset();
        updateRegistryPosition(0, 0);
        owner.onConnected(this);
        poll();
    }

    @Override
    public void onClosed(ControlConnector.Connection closedConnection) {
        if (closedConnection.equals(connection)) {
            disconnect("connection closed");
        }
    }

    private void disconnect(String cause) {
        ControlConnector.Connection formerConnection = connection;
        connection = null;
        awaitingReply = false;
        if (replica != null) {
            owner.onFailed(replica);
            LOG.debug(
                    "Control-plane replica disconnected: link={}, replica={}, cause={}",
                    index,
                    replica,
                    cause);
        }
        replica = null;
        if (formerConnection != null) {
            formerConnection.close();
        }
    }

    private void poll() {
        pollNumber++;
        Message.Poll poll = owner.nextPoll(this, pollNumber);
        pollSentMs = clock.getAsLong();
        awaitingReply = true;
        connection.send(poll);
    }

    @Override
    public void onMessage(ControlConnector.Connection from, Message message) {
        if (!from.equals(connection)
                || !(message instanceof Message.PollReply reply)
                || reply.pollId() != pollNumber) {
            return;
        }
        awaitingReply = false;
        if (reply.quorumAgeMs() > MAX_QUORUM_AGE_MS) {
            disconnect("no quorum, quorumAgeMs=" + reply.quorumAgeMs());
            return;
        }
        // The reply may have been delayed, but was created after the poll was sent.
        owner.onReply(this, reply, pollSentMs - reply.quorumAgeMs());
        if (connection != null) {
            poll();
        }
    }
}
