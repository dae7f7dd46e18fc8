package poppynotch.fleet.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Membership of one process after SWIM (Das, Gupta, Motivala 2002) with the additions of Lifeguard
 * (Dadgar, Phillips, Currey 2018). It does no I/O and reads no clock: it is told the time, in
 * milliseconds of one clock that never goes back, with each thing that happens. Not for several
 * threads.
 */
public final class Membership {

    /** What fits a datagram beside its head, within 1,400 bytes. */
    public static final int MAX_DATAGRAM_CONTENT_BYTES = 1100;

    /** So many are told at once of a leave, each in a datagram of its own: a few may be lost. */
    private static final int LEAVE_FANOUT = 8;

    /** The dead are looked through this often for those to be forgotten. */
    private static final double FORGET_INTERVAL_MS = 5000;

    /** A process of the same name that answers none of so many probes is gone. */
    private static final int MAX_SUCCESSOR_PROBES = 8;

    private final SwimSettings settings;
    private final LocalMember localMember;
    private final MemberTable table = new MemberTable();
    private final GossipQueue gossipQueue;
    private final SuspicionTimers suspicionTimers;
    private final LocalHealth localHealth = new LocalHealth();
    private final ViewConvergence viewConvergence = new ViewConvergence(table);
    private final UpdateMerger updateMerger;
    private final Prober prober;
    private final AntiEntropy antiEntropy;
    private final MessageSender messageSender;
    private final PiggybackPayload payload;
    private final SplittableRandom random;
    private long lastQuestionSequence;
    private double nextGossipMs;
    private double nextForgetMs;
    private double expectedCallMs;
    private double nowMs;

    /**
     * While another process of this name is the member: when it is probed next, and how often in
     * vain.
     */
    private double nextSuccessorProbeMs;

    private int unansweredSuccessorProbes;

    /**
     * Begins to take part.
     *
     * @param now the time
     * @param address where others reach this process, IP:port
     * @param seed for what is drawn at random; two processes of one name must not share it
     * @param rider what answers take along; {@link PiggybackPayload#NONE} for nothing
     */
    public Membership(
            SwimSettings tuning,
            String name,
            String address,
            MemberProfile profile,
            long seed,
            MessageSender port,
            PiggybackPayload rider,
            double now) {
        if (!MemberProfile.isWord(name) || !MemberProfile.isWord(address)) {
            throw new IllegalArgumentException(
                    "not a usable name and address: " + name + ", " + address);
        }
        this.settings = tuning;
        this.messageSender = port;
        this.payload = rider;
        nowMs = now;
        random = new SplittableRandom(seed);
        localMember = new LocalMember(name, address, random.nextLong() >>> 1, profile);
        gossipQueue = new GossipQueue(tuning.spread());
        suspicionTimers = new SuspicionTimers(tuning, name, random);
        MessageSender heard = new MemberChangeListener();
        updateMerger =
                new UpdateMerger(
                        tuning,
                        localMember,
                        table,
                        gossipQueue,
                        suspicionTimers,
                        localHealth,
                        viewConvergence,
                        heard,
                        random);
        prober =
                new Prober(
                        tuning,
                        localMember,
                        table,
                        localHealth,
                        updateMerger,
                        this::send,
                        random,
                        now);
        antiEntropy =
                new AntiEntropy(
                        tuning,
                        localMember,
                        table,
                        updateMerger,
                        port,
                        new AntiEntropy.Sender() {
                            @Override
                            public void ping(MemberUpdate target) {
                                Membership.this.send(
                                        Message.Kind.PING,
                                        target.name(),
                                        target.address(),
                                        0,
                                        target.name(),
                                        "");
                            }

                            @Override
                            public void send(
                                    Message.Kind kind,
                                    String address,
                                    List<Long> buckets,
                                    List<MemberUpdate> updates) {
                                port.send(
                                        address,
                                        new Message(
                                                kind,
                                                localMember.name,
                                                localMember.address,
                                                localMember.run,
                                                0,
                                                "",
                                                "",
                                                table.viewDigest(),
                                                buckets,
                                                updates),
                                        true);
                            }
                        },
                        random,
                        now);
        nextGossipMs = now;
        nextForgetMs = now + FORGET_INTERVAL_MS;
        expectedCallMs = now;
        updateMerger.disseminateSelf(now);
    }

    /** A new member is probed in its turn; all else goes on to the host. */
    private final class MemberChangeListener implements MessageSender {
        @Override
        public void send(String address, Message message, boolean whole) {
            messageSender.send(address, message, whole);
        }

        @Override
        public List<String> seeds() {
            return messageSender.seeds();
        }

        @Override
        public void changed(MemberUpdate before, MemberUpdate now) {
            if (before == null && now.state().isPresent()) {
                prober.onMemberAdded(now.name());
            }
            messageSender.changed(before, now);
        }

        @Override
        public void say(String line) {
            messageSender.say(line);
        }
    }

    /** Does what is due; {@link #nextMs} tells when to call again. */
    public void advance(double now) {
        beginCall(now);
        if (localMember.successor() == null) {
            updateMerger.expireSuspicions(now);
            suspicionTimers
                    .takeFinalProbes(now)
                    .forEach((name, first) -> sendFinalProbe(table.get(name).update, first));
            if (!localMember.isLeaving()) {
                prober.advance(now);
                antiEntropy.advance(now);
            }
            viewConvergence.checkConvergence(now);
        } else {
            probeSuccessor(now);
        }
        if (now >= nextGossipMs) {
            nextGossipMs = now + settings.gossipMs();
            gossip(settings.fanout());
        }
        if (now >= nextForgetMs) {
            nextForgetMs = now + FORGET_INTERVAL_MS;
            updateMerger.removeForgotten(now);
        }
        endCall(now);
    }

    /** Takes up what another process sent. */
    public void receive(double now, Message message) {
        beginCall(now);
        if (message.run() == localMember.run) {
            return;
        }
        MemberTable.Entry from = table.get(message.from());
        if (from != null && from.update.run() == message.run()) {
            from.reportedViewDigest = message.digest();
            from.reportedViewMs = now;
        }
        boolean whole = message.kind().isTableExchange();
        if (!whole) {
            for (MemberUpdate update : message.updates()) {
                String suspect = updateMerger.merge(now, update, false);
                if (suspect != null
                        && localMember.successor() == null
                        && !localMember.isLeaving()) {
                    prober.probeSuspect(now, suspect);
                }
            }
        }
        switch (message.kind()) {
            case PING -> {
                // Another process may have come to the address of one that is gone.
                if (message.target().equals(localMember.name)) {
                    if (message.updates().stream().anyMatch(localMember::isAlreadyRefuted)) {
                        // Whoever asks has missed the answer to that, which may be told on no more.
                        gossipQueue.enqueue(localMember.currentUpdate());
                    }
                    send(
                            Message.Kind.ACK,
                            message.from(),
                            message.address(),
                            message.sequence(),
                            "",
                            "");
                }
            }
            case ACK -> {
                if (localMember.successor() != null) {
                    unansweredSuccessorProbes = 0;
                }
                double transit = prober.onAck(now, message);
                if (transit >= 0 && message.rider().hasRemaining()) {
                    payload.hear(now, message.rider(), transit);
                }
            }
            case NACK -> prober.onNack(message);
            case PING_REQUEST -> prober.onPingRequest(now, message);
            case SYNC_ASK -> antiEntropy.onSyncRequest(now, message);
            case SYNC_REPLY -> antiEntropy.onSyncReply(now, message);
            case SYNC_PUSH -> antiEntropy.onSyncPush(now, message);
            case ASK -> onQuestion(now, message);
            case TELL -> payload.told(now, message.from(), message.sequence(), message.rider());
            default -> {} // GOSSIP: its news was all.
        }
        boolean differs = !whole && message.digest() != table.viewDigest() && gossipQueue.isEmpty();
        if (differs
                && localMember.successor() == null
                && !localMember.isLeaving()
                && !message.from().equals(localMember.name)) {
            antiEntropy.onViewDifference(now, message.address());
        }
        endCall(now);
    }

    /**
     * A process that did not run for longer than a probe takes (paused, starved) has missed
     * answers: it blames nobody for that time.
     */
    private void beginCall(double now) {
        double late = now - expectedCallMs;
        if (late > settings.periodMs()) {
            suspicionTimers.postpone(late);
            prober.cancelAll();
            localHealth.degrade(1);
            antiEntropy.syncSoon(now);
            messageSender.say(
                    String.format(Locale.ROOT, "this process did not run for %.1f s", late / 1000));
        }
        expectedCallMs = Math.max(expectedCallMs, now);
        nowMs = now;
    }

    /**
     * What is overdue when a call ends was overdue before it too, and has been told: a process that
     * wakes reads many messages before its timers, and each must not count the same pause again.
     */
    private void endCall(double now) {
        expectedCallMs = Math.max(now, nextMs());
    }

    /** Who leaves, or has a successor, is no longer the one that is asked. */
    private void onQuestion(double now, Message question) {
        if (localMember.successor() == null
                && !localMember.isLeaving()
                && question.target().equals(localMember.name)) {
            ByteBuffer answer =
                    payload.asked(now, question.from(), question.sequence(), question.rider());
            if (answer.hasRemaining()) {
                send(
                        Message.Kind.TELL,
                        question.from(),
                        question.address(),
                        question.sequence(),
                        "",
                        "",
                        answer);
            }
        }
    }

    /**
     * Asks a member something; its answer comes to {@link PiggybackPayload#told}, or never.
     *
     * @param question over {@value #NEWS_BYTES} bytes it goes by a connection
     * @return the number under which the answer comes, or -1 where there is no such member, or this
     *     process is not one itself
     */
    public long ask(double now, String member, ByteBuffer question) {
        beginCall(now);
        MemberTable.Entry entry = table.get(member);
        long sequence = -1;
        if (entry != null && entry.update.state().isPresent() && localMember.successor() == null) {
            sequence = ++lastQuestionSequence;
            send(Message.Kind.ASK, member, entry.update.address(), sequence, member, "", question);
        }
        endCall(now);
        return sequence;
    }

    /** Answers a question of some time ago; where who asked is gone, nothing is sent. */
    public void tell(double now, String member, long sequence, ByteBuffer answer) {
        beginCall(now);
        MemberTable.Entry entry = table.get(member);
        // Who leaves may still wait for an answer.
        if (entry != null
                && entry.update.state() != MemberState.DEAD
                && localMember.successor() == null) {
            send(Message.Kind.TELL, member, entry.update.address(), sequence, "", "", answer);
        }
        endCall(now);
    }

    /**
     * By datagram, and once by a connection, which losses only delay; both say what it is suspected
     * of.
     */
    private void sendFinalProbe(MemberUpdate suspect, boolean first) {
        send(Message.Kind.PING, suspect.name(), suspect.address(), 0, suspect.name(), "");
        if (first) {
            antiEntropy.requestSync(suspect.address(), List.of(suspect));
        }
    }

    private void probeSuccessor(double now) {
        if (now < nextSuccessorProbeMs) {
            return;
        }
        nextSuccessorProbeMs = now + settings.periodMs();
        MemberUpdate successor = localMember.successor();
        if (++unansweredSuccessorProbes <= MAX_SUCCESSOR_PROBES) {
            send(Message.Kind.PING, successor.name(), successor.address(), 0, successor.name(), "");
            return;
        }
        unansweredSuccessorProbes = 0;
        localMember.resumeMembership();
        updateMerger.disseminateSelf(now);
        messageSender.say(
                "the process that took this one's place is gone; this one is the member again");
    }

    private void send(
            Message.Kind kind,
            String to,
            String address,
            long sequence,
            String target,
            String targetAddress) {
        send(kind, to, address, sequence, target, targetAddress, Message.NOTHING);
    }

    private void send(
            Message.Kind kind,
            String to,
            String address,
            long sequence,
            String target,
            String targetAddress,
            ByteBuffer said) {
        List<MemberUpdate> updates = new ArrayList<>();
        int room = MAX_DATAGRAM_CONTENT_BYTES - said.remaining();
        MemberTable.Entry entry = table.get(to);
        boolean toSelf = to.equals(localMember.name);
        if (entry != null && !toSelf && entry.update.state() != MemberState.ALIVE) {
            // Whoever is suspected or held dead must know, to speak against it.
            MemberUpdate claim = entry.update.forGossip();
            updates.add(claim);
            room -= claim.maxEncodedBytes();
        }
        if (localMember.successor() == null) {
            updates.addAll(
                    gossipQueue.takeForMessage(
                            room, table.presentCount(), updates.isEmpty() ? null : to));
        }
        int left =
                MAX_DATAGRAM_CONTENT_BYTES
                        - updates.stream().mapToInt(MemberUpdate::maxEncodedBytes).sum();
        ByteBuffer riding =
                kind == Message.Kind.ACK && localMember.successor() == null
                        ? payload.next(nowMs, left, table.presentCount())
                        : said;
        messageSender.send(
                address,
                new Message(
                        kind,
                        localMember.name,
                        localMember.address,
                        localMember.run,
                        sequence,
                        target,
                        targetAddress,
                        table.viewDigest(),
                        List.of(),
                        updates,
                        riding),
                said.remaining() > MAX_DATAGRAM_CONTENT_BYTES);
    }

    private void gossip(int fanout) {
        if (gossipQueue.isEmpty() || localMember.successor() != null) {
            return;
        }
        List<MemberUpdate> present = new ArrayList<>();
        for (MemberTable.Entry entry : table.entries()) {
            if (entry.update.state().isPresent() && !entry.update.name().equals(localMember.name)) {
                present.add(entry.update);
            }
        }
        for (int i = 0; i < fanout && !present.isEmpty() && !gossipQueue.isEmpty(); i++) {
            MemberUpdate to = present.remove(random.nextInt(present.size()));
            send(Message.Kind.GOSSIP, to.name(), to.address(), 0, "", "");
        }
    }

    /** What this process says of itself is another from now on. */
    public void updateProfile(double now, MemberProfile next) {
        beginCall(now);
        if (localMember.successor() == null
                && !localMember.isLeaving()
                && !next.equals(localMember.profile())) {
            localMember.updateProfile(next);
            updateMerger.disseminateSelf(now);
        }
        endCall(now);
    }

    /** Leaves, and says so at once; it goes on to answer until its host ends it. */
    public void leave(double now) {
        beginCall(now);
        if (localMember.successor() == null && !localMember.isLeaving()) {
            localMember.leave();
            updateMerger.disseminateSelf(now);
            gossip(LEAVE_FANOUT);
        }
        endCall(now);
    }

    /** When {@link #advance} is to be called next, on the clock that this process is told. */
    public double nextMs() {
        double next =
                Math.min(
                        Math.min(prober.nextDueMs(), antiEntropy.nextDueMs()),
                        suspicionTimers.nextDueMs());
        if (localMember.successor() != null) {
            next = nextSuccessorProbeMs;
        } else if (localMember.isLeaving()) {
            next = Double.POSITIVE_INFINITY;
        }
        if (!gossipQueue.isEmpty() && localMember.successor() == null) {
            next = Math.min(next, nextGossipMs);
        }
        return Math.min(next, nextForgetMs);
    }

    /** What this process sees. */
    public MembershipView view(double now) {
        int same = 0;
        int other = 0;
        List<MembershipView.Member> members = new ArrayList<>();
        for (MemberTable.Entry entry : table.entries()) {
            members.add(new MembershipView.Member(entry.update, now - entry.sinceMs));
            if (entry.update.state().isPresent()
                    && now - entry.reportedViewMs <= ViewConvergence.REPORT_FRESH_MS) {
                if (entry.reportedViewDigest == table.viewDigest()) {
                    same++;
                } else {
                    other++;
                }
            }
        }
        return new MembershipView(
                localMember.name,
                table.epoch(),
                table.viewDigest(),
                localHealth.score(),
                same,
                other,
                viewConvergence.agreedCount(),
                viewConvergence.isMajorityPresent(),
                localMember.successor() != null,
                members);
    }

    /** The digest of the present view; cheaper than the view. */
    public long viewDigest() {
        return table.viewDigest();
    }

    /** How many are alive or suspect; cheaper than the view. */
    public int present() {
        return table.presentCount();
    }

    /** What is held of a member, or null. */
    public MemberUpdate held(String name) {
        MemberTable.Entry entry = table.get(name);
        return entry == null ? null : entry.update;
    }

    /** Claims about members that were too far ahead to be true, and were not taken up. */
    public long implausibleUpdates() {
        return updateMerger.implausibleUpdates();
    }
}
