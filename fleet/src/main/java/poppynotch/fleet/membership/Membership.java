package poppynotch.fleet.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Membership of one process in the fleet, by SWIM (Das, Gupta, Motivala 2002) with the extensions
 * of Lifeguard (Dadgar, Phillips, Currey 2018).
 *
 * <p>This is a state machine without I/O and without a clock. Its host passes in each message and
 * the time, in milliseconds of one monotonic clock, and calls {@link #advance} at the time that
 * {@link #nextDueMs} returns. Messages are sent through the {@link MembershipHost}. Not
 * thread-safe: all calls must come from one thread.
 */
public final class Membership {

    /**
     * Maximum size of updates and payload in a datagram: what the other fields leave of 1,400
     * bytes.
     */
    public static final int MAX_DATAGRAM_CONTENT_BYTES = 1100;

    /**
     * Number of members to which a leave is sent at once, in a datagram each, as some may be lost.
     */
    private static final int LEAVE_FANOUT = 8;

    /** Interval between searches of the table for members to be forgotten. */
    private static final double FORGET_INTERVAL_MS = 5000;

    private static final long NO_SEQUENCE = -1;

    private final SwimSettings settings;
    private final LocalMember localMember;
    private final MemberTable table = new MemberTable();
    private final GossipQueue gossipQueue;
    private final SuspicionTimers suspicionTimers;
    private final LocalHealth localHealth = new LocalHealth();
    private final ViewConvergence viewConvergence = new ViewConvergence(table);
    private final UpdateMerger updateMerger;
    private final MessageComposer composer;
    private final Prober prober;
    private final AntiEntropy antiEntropy;
    private final SuccessorMonitor successorMonitor;
    private final MembershipHost host;
    private final PiggybackPayload payload;
    private long lastQuestionSequence;
    private double nextGossipMs;
    private double nextForgetMs;

    /**
     * Time at which the next call is expected at the latest. A call that is later than this by more
     * than a probe interval shows that the process was paused.
     */
    private double expectedCallMs;

    /**
     * Joins the fleet.
     *
     * @param address where others reach this process, IP:port
     * @param seed for random numbers; two processes of one name must not use the same
     * @param host sends messages and is notified of changes
     * @param payload state that is piggybacked on acknowledgements; {@link PiggybackPayload#NONE}
     *     for none
     * @param now the time in milliseconds
     * @throws IllegalArgumentException if the name or the address is not a valid name
     */
    public Membership(
            SwimSettings settings,
            String name,
            String address,
            MemberProfile profile,
            long seed,
            MembershipHost host,
            PiggybackPayload payload,
            double now) {
        if (!MemberProfile.isValidName(name) || !MemberProfile.isValidName(address)) {
            throw new IllegalArgumentException(
                    "invalid member name or address: name=" + name + ", address=" + address);
        }
        this.settings = settings;
        this.host = host;
        this.payload = payload;
        SplittableRandom random = new SplittableRandom(seed);
        localMember = new LocalMember(name, address, random.nextLong() >>> 1, profile);
        gossipQueue = new GossipQueue(settings.retransmitMultiplier());
        suspicionTimers = new SuspicionTimers(settings, name, random);
        ProtocolState state =
                new ProtocolState(settings, localMember, table, gossipQueue, localHealth, random);
        updateMerger =
                new UpdateMerger(
                        state, suspicionTimers, viewConvergence, new MemberAddedListener());
        composer = new MessageComposer(state, payload, host);
        composer.setNow(now);
        prober = new Prober(state, updateMerger, composer, now);
        antiEntropy = new AntiEntropy(state, updateMerger, host, composer, now);
        successorMonitor = new SuccessorMonitor(state, updateMerger, composer, host);
        nextGossipMs = now;
        nextForgetMs = now + FORGET_INTERVAL_MS;
        expectedCallMs = now;
        updateMerger.disseminateSelf(now);
    }

    /** Forwards all calls to the host, and notifies the prober of new members. */
    private final class MemberAddedListener implements MembershipHost {
        @Override
        public void send(String address, Message message, boolean overConnection) {
            host.send(address, message, overConnection);
        }

        @Override
        public List<String> seedAddresses() {
            return host.seedAddresses();
        }

        @Override
        public void onMemberChanged(MemberUpdate before, MemberUpdate current) {
            if (before == null && current.state().isPresent()) {
                prober.onMemberAdded(current.name());
            }
            host.onMemberChanged(before, current);
        }

        @Override
        public void log(String line) {
            host.log(line);
        }
    }

    /** Runs what is due at the given time; {@link #nextDueMs} returns when to call again. */
    public void advance(double now) {
        beginCall(now);
        if (localMember.successor() == null) {
            updateMerger.expireSuspicions(now);
            Map<String, Boolean> finalProbes = suspicionTimers.takeFinalProbes(now);
            finalProbes.forEach((name, isFirst) -> sendFinalProbe(table.get(name).update, isFirst));
            if (!localMember.isLeaving()) {
                prober.advance(now);
                antiEntropy.advance(now);
            }
            viewConvergence.checkConvergence(now);
        } else {
            successorMonitor.advance(now);
        }
        if (now >= nextGossipMs) {
            nextGossipMs = now + settings.gossipIntervalMs();
            composer.gossip(settings.gossipFanout());
        }
        if (now >= nextForgetMs) {
            nextForgetMs = now + FORGET_INTERVAL_MS;
            updateMerger.removeForgotten(now);
        }
        endCall(now);
    }

    /**
     * Probes a suspect before it is declared dead: by datagram, and once over a connection, where
     * packet loss only adds delay. Both messages contain the suspicion.
     */
    private void sendFinalProbe(MemberUpdate suspect, boolean isFirst) {
        composer.ping(suspect);
        if (isFirst) {
            antiEntropy.requestSync(suspect.address(), List.of(suspect));
        }
    }

    /** Handles a message from another process. */
    public void receive(double now, Message message) {
        beginCall(now);
        if (message.run() == localMember.run) {
            return;
        }
        recordReportedView(now, message);
        if (!message.kind().isTableExchange()) {
            mergePiggybackedUpdates(now, message);
        }
        dispatch(now, message);
        boolean isViewDifferent =
                !message.kind().isTableExchange()
                        && message.digest() != table.viewDigest()
                        && gossipQueue.isEmpty();
        if (isViewDifferent && isActive() && !message.from().equals(localMember.name)) {
            antiEntropy.onViewDifference(now, message.address());
        }
        endCall(now);
    }

    /** Whether this process is the member of its name, and is not leaving. */
    private boolean isActive() {
        return localMember.successor() == null && !localMember.isLeaving();
    }

    private void recordReportedView(double now, Message message) {
        MemberTable.Entry sender = table.get(message.from());
        if (sender != null && sender.update.run() == message.run()) {
            sender.reportedViewDigest = message.digest();
            sender.reportedViewMs = now;
        }
    }

    private void mergePiggybackedUpdates(double now, Message message) {
        for (MemberUpdate update : message.updates()) {
            String suspect = updateMerger.merge(now, update, false);
            if (suspect != null && isActive()) {
                prober.probeSuspect(now, suspect);
            }
        }
    }

    private void dispatch(double now, Message message) {
        switch (message.kind()) {
            case PING -> onPing(message);
            case ACK -> onAck(now, message);
            case NACK -> prober.onNack(message);
            case PING_REQUEST -> prober.onPingRequest(now, message);
            case SYNC_REQUEST -> antiEntropy.onSyncRequest(now, message);
            case SYNC_REPLY -> antiEntropy.onSyncReply(now, message);
            case SYNC_PUSH -> antiEntropy.onSyncPush(now, message);
            case QUESTION -> onQuestion(now, message);
            case ANSWER ->
                    payload.onAnswer(now, message.from(), message.sequence(), message.payload());
            default -> {} // GOSSIP: it carries updates only.
        }
    }

    private void onPing(Message ping) {
        if (!ping.target().equals(localMember.name)) {
            // The ping is for an earlier process at this address.
            return;
        }
        if (ping.updates().stream().anyMatch(localMember::isAlreadyRefuted)) {
            // The sender missed the refutation, which may no longer be in the queue.
            gossipQueue.enqueue(localMember.currentUpdate());
        }
        composer.send(Message.Kind.ACK, ping.from(), ping.address(), ping.sequence(), "", "");
    }

    private void onAck(double now, Message ack) {
        if (localMember.successor() != null) {
            successorMonitor.onAck();
        }
        double transitMs = prober.onAck(now, ack);
        if (transitMs >= 0 && ack.payload().hasRemaining()) {
            payload.onPayload(now, ack.payload(), transitMs);
        }
    }

    /** Handles a question, unless this process is leaving or has a successor. */
    private void onQuestion(double now, Message question) {
        if (!isActive() || !question.target().equals(localMember.name)) {
            return;
        }
        ByteBuffer answer =
                payload.onQuestion(now, question.from(), question.sequence(), question.payload());
        if (answer.hasRemaining()) {
            composer.sendAnswer(question.from(), question.address(), question.sequence(), answer);
        }
    }

    /**
     * Detects that this process was paused, or starved of CPU time, for longer than a probe takes.
     * It may have missed answers then, and must not suspect others because of that.
     */
    private void beginCall(double now) {
        double lateMs = now - expectedCallMs;
        if (lateMs > settings.probeIntervalMs()) {
            int healthBefore = localHealth.score();
            suspicionTimers.postpone(lateMs);
            prober.cancelAll();
            localHealth.degrade(1);
            antiEntropy.syncSoon(now);
            host.log(
                    String.format(
                            Locale.ROOT,
                            "Process was paused, pending probes cancelled: pausedMs=%.0f,"
                                    + " oldHealthScore=%d, newHealthScore=%d",
                            lateMs,
                            healthBefore,
                            localHealth.score()));
        }
        expectedCallMs = Math.max(expectedCallMs, now);
        composer.setNow(now);
    }

    /**
     * Sets the time at which the next call is expected, which is never in the past. A process that
     * resumes after a pause handles many received messages before its overdue timers, and only the
     * first of these calls must detect the pause.
     */
    private void endCall(double now) {
        expectedCallMs = Math.max(now, nextDueMs());
    }

    /**
     * Sends a question to a member. The answer, if one comes, is passed to {@link
     * PiggybackPayload#onAnswer}.
     *
     * @param question encoded question, sent over a connection if it is longer than {@value
     *     #MAX_DATAGRAM_CONTENT_BYTES} bytes
     * @return the sequence number of the question and its answer, or -1 if the member is not
     *     present, or if this process has a successor
     */
    public long sendQuestion(double now, String member, ByteBuffer question) {
        beginCall(now);
        MemberTable.Entry entry = table.get(member);
        long sequence = NO_SEQUENCE;
        if (entry != null && entry.isPresent() && localMember.successor() == null) {
            lastQuestionSequence++;
            sequence = lastQuestionSequence;
            composer.sendQuestion(entry.update, sequence, question);
        }
        endCall(now);
        return sequence;
    }

    /**
     * Answers an earlier question. Nothing is sent if the member that asked is dead or unknown, or
     * if this process has a successor.
     *
     * @param sequence sequence number of the question
     */
    public void sendAnswer(double now, String member, long sequence, ByteBuffer answer) {
        beginCall(now);
        MemberTable.Entry entry = table.get(member);
        // A leaving member may still wait for the answer.
        if (entry != null
                && entry.update.state() != MemberState.DEAD
                && localMember.successor() == null) {
            composer.sendAnswer(member, entry.update.address(), sequence, answer);
        }
        endCall(now);
    }

    /** Replaces this process's profile, and disseminates it. */
    public void updateProfile(double now, MemberProfile newProfile) {
        beginCall(now);
        if (isActive() && !newProfile.equals(localMember.profile())) {
            localMember.updateProfile(newProfile);
            updateMerger.disseminateSelf(now);
        }
        endCall(now);
    }

    /**
     * Leaves the fleet, and notifies some members at once. The process goes on to answer probes
     * until its host stops calling it.
     */
    public void leave(double now) {
        beginCall(now);
        if (isActive()) {
            localMember.leave();
            updateMerger.disseminateSelf(now);
            composer.gossip(LEAVE_FANOUT);
        }
        endCall(now);
    }

    /** When {@link #advance} is to be called next, in milliseconds of the host's clock. */
    public double nextDueMs() {
        double nextDueMs =
                Math.min(
                        Math.min(prober.nextDueMs(), antiEntropy.nextDueMs()),
                        suspicionTimers.nextDueMs());
        if (localMember.successor() != null) {
            nextDueMs = successorMonitor.nextDueMs();
        } else if (localMember.isLeaving()) {
            nextDueMs = Double.POSITIVE_INFINITY;
        }
        if (!gossipQueue.isEmpty() && localMember.successor() == null) {
            nextDueMs = Math.min(nextDueMs, nextGossipMs);
        }
        return Math.min(nextDueMs, nextForgetMs);
    }

    /** A snapshot of the membership as this process sees it. */
    public MembershipView view(double now) {
        int matchingViews = 0;
        int differingViews = 0;
        List<MembershipView.Member> members = new ArrayList<>();
        for (MemberTable.Entry entry : table.entries()) {
            members.add(new MembershipView.Member(entry.update, now - entry.sinceMs));
            boolean isFresh = now - entry.reportedViewMs <= ViewConvergence.REPORT_FRESH_MS;
            if (entry.isPresent() && isFresh) {
                if (entry.reportedViewDigest == table.viewDigest()) {
                    matchingViews++;
                } else {
                    differingViews++;
                }
            }
        }
        return new MembershipView(
                localMember.name,
                table.epoch(),
                table.viewDigest(),
                localHealth.score(),
                matchingViews,
                differingViews,
                viewConvergence.agreedCount(),
                viewConvergence.isMajorityPresent(),
                localMember.successor() != null,
                members);
    }

    /** The digest of the current view; cheaper than {@link #view}. */
    public long viewDigest() {
        return table.viewDigest();
    }

    /** Number of members that are alive or suspect; cheaper than {@link #view}. */
    public int presentCount() {
        return table.presentCount();
    }

    /** The last accepted update about a member, or null if it is not known. */
    public MemberUpdate member(String name) {
        MemberTable.Entry entry = table.get(name);
        return entry == null ? null : entry.update;
    }

    /** Number of updates that were rejected because of an implausible incarnation. */
    public long implausibleUpdates() {
        return updateMerger.implausibleUpdates();
    }
}
