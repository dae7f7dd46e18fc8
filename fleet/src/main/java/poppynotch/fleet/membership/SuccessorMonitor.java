package poppynotch.fleet.membership;

/**
 * Probes the process that replaced this one as the member of its name. If the successor answers
 * none of several probes, this process becomes the member again.
 *
 * <p>Owned by {@link Membership} and confined to its thread.
 */
final class SuccessorMonitor {

    /** A successor counts as gone after this many unanswered probes in a row. */
    private static final int MAX_UNANSWERED_PROBES = 8;

    private final ProtocolState state;
    private final UpdateMerger updateMerger;
    private final MessageComposer composer;
    private final MembershipHost host;
    private double nextProbeMs;
    private int unansweredProbes;

    SuccessorMonitor(
            ProtocolState state,
            UpdateMerger updateMerger,
            MessageComposer composer,
            MembershipHost host) {
        this.state = state;
        this.updateMerger = updateMerger;
        this.composer = composer;
        this.host = host;
    }

    /** Sends the next probe if it is due. To be called only while there is a successor. */
    void advance(double now) {
        if (now < nextProbeMs) {
            return;
        }
        nextProbeMs = now + state.settings().probeIntervalMs();
        unansweredProbes++;
        if (unansweredProbes <= MAX_UNANSWERED_PROBES) {
            composer.ping(state.localMember().successor());
            return;
        }
        unansweredProbes = 0;
        String successorAddress = state.localMember().successor().address();
        state.localMember().resumeMembership();
        updateMerger.disseminateSelf(now);
        host.log(
                "Membership resumed: name="
                        + state.localMember().name
                        + ", successorAddress="
                        + successorAddress
                        + ", unansweredProbes="
                        + MAX_UNANSWERED_PROBES);
    }

    /** Handles an acknowledgement that was received while there is a successor. */
    void onAck() {
        unansweredProbes = 0;
    }

    /** When {@link #advance} is due next. */
    double nextDueMs() {
        return nextProbeMs;
    }
}
