package poppynotch.fleet.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Failure detector of SWIM (sections 3.1 and 4.3): probes one member in each interval, and asks
 * other members for indirect probes if there is no acknowledgement. The members are probed round
 * robin, in an order that is shuffled anew for each round, so that each is probed within two
 * rounds.
 *
 * <p>Owned by {@link Membership} and confined to its thread.
 */
final class Prober {

    /**
     * A suspect is probed out of turn only while fewer probes than this are pending, so that their
     * number stays bounded in a fleet with many failures.
     */
    private static final int MAX_EXTRA_PROBES = 4;

    /**
     * A proxy sends its NACK after this fraction of the acknowledgement time-out, while the
     * requester still waits for it.
     */
    private static final double NACK_TIMEOUT_FRACTION = 0.8;

    /**
     * Maximum number of pending indirect probes; correct members do not request more. Further
     * requests are dropped, as the requester asks other proxies too.
     */
    private static final int MAX_INDIRECT_PROBES = 64;

    /** Result of {@link #onAck} for an acknowledgement that matches no probe. */
    static final double NO_PROBE = -1;

    /** Sends the prober's messages, with the updates that are piggybacked on them. */
    interface Sender {
        /**
         * Sends one message.
         *
         * @param to name of the receiver
         * @param address of the receiver
         * @param target name of the probed member, or empty
         * @param targetAddress address of an indirect probe's target, or empty
         */
        void send(
                Message.Kind kind,
                String to,
                String address,
                long sequence,
                String target,
                String targetAddress);
    }

    /** A pending probe of a member by this process. */
    private static final class Probe {
        final String target;
        final long run;
        final double sentMs;
        final double indirectDueMs;
        final double deadlineMs;
        boolean isIndirectRequested;
        int proxiesAsked;
        int nacks;

        Probe(String target, long run, double sentMs, double indirectDueMs, double deadlineMs) {
            this.target = target;
            this.run = run;
            this.sentMs = sentMs;
            this.indirectDueMs = indirectDueMs;
            this.deadlineMs = deadlineMs;
        }
    }

    /** A pending probe on behalf of another member. */
    private record IndirectProbe(
            String requester,
            String requesterAddress,
            long sequence,
            double sentMs,
            double nackDueMs) {}

    private final ProtocolState state;
    private final UpdateMerger updateMerger;
    private final Sender sender;

    /** Pending probes, by sequence number. */
    private final Map<Long, Probe> probes = new HashMap<>();

    /**
     * Pending probes on behalf of other members, by the sequence number of the PING that this
     * process sent to the target.
     */
    private final Map<Long, IndirectProbe> indirectProbes = new HashMap<>();

    /** Members still to be probed in this round; the last one is next. */
    private final List<String> probeOrder = new ArrayList<>();

    private long lastSequence;
    private double nextIntervalMs;

    Prober(ProtocolState state, UpdateMerger updateMerger, Sender sender, double now) {
        this.state = state;
        this.updateMerger = updateMerger;
        this.sender = sender;
        nextIntervalMs = now + state.random().nextDouble() * state.settings().probeIntervalMs();
    }

    /** Ends probes that timed out, and begins the next probe if it is due. */
    void advance(double now) {
        advanceProbes(now);
        sendDueNacks(now);
        if (now >= nextIntervalMs) {
            nextIntervalMs = now + state.localHealth().scaledMs(state.settings().probeIntervalMs());
            String target = nextTarget();
            if (target != null) {
                probe(now, target);
            }
        }
    }

    private void advanceProbes(double now) {
        for (Map.Entry<Long, Probe> pending : List.copyOf(probes.entrySet())) {
            Probe probe = pending.getValue();
            if (now >= probe.deadlineMs) {
                probes.remove(pending.getKey());
                if (probe.proxiesAsked > 0 && probe.nacks == 0) {
                    // No proxy answered either, so the fault may be at this process.
                    state.localHealth().degrade(1);
                }
                updateMerger.onProbeFailed(now, probe.target, probe.run);
            } else if (now >= probe.indirectDueMs && !probe.isIndirectRequested) {
                requestIndirectProbes(pending.getKey(), probe);
            }
        }
    }

    private void sendDueNacks(double now) {
        Iterator<IndirectProbe> pending = indirectProbes.values().iterator();
        while (pending.hasNext()) {
            IndirectProbe indirect = pending.next();
            if (now >= indirect.nackDueMs) {
                pending.remove();
                sender.send(
                        Message.Kind.NACK,
                        indirect.requester,
                        indirect.requesterAddress,
                        indirect.sequence,
                        "",
                        "");
            }
        }
    }

    /** The next present member of the round, or of a new round; null if there is none. */
    private String nextTarget() {
        for (int attempt = 0; attempt < 2; attempt++) {
            while (!probeOrder.isEmpty()) {
                String name = probeOrder.remove(probeOrder.size() - 1);
                MemberTable.Entry entry = state.table().get(name);
                if (entry != null && entry.isPresent()) {
                    return name;
                }
            }
            beginRound();
        }
        return null;
    }

    private void beginRound() {
        for (MemberUpdate member : state.table().presentMembersExcept(state.localMember().name)) {
            probeOrder.add(member.name());
        }
        for (int i = probeOrder.size() - 1; i > 0; i--) {
            Collections.swap(probeOrder, i, state.random().nextInt(i + 1));
        }
    }

    /** Adds a new member to this round, at a random position. */
    void onMemberAdded(String name) {
        probeOrder.add(state.random().nextInt(probeOrder.size() + 1), name);
    }

    /** Probes a member that another one suspects, unless enough probes are pending. */
    void probeSuspect(double now, String name) {
        boolean isPending = probes.values().stream().anyMatch(probe -> probe.target.equals(name));
        if (probes.size() < MAX_EXTRA_PROBES && !isPending) {
            probe(now, name);
        }
    }

    private void probe(double now, String name) {
        MemberUpdate target = state.table().get(name).update;
        LocalHealth localHealth = state.localHealth();
        lastSequence++;
        probes.put(
                lastSequence,
                new Probe(
                        name,
                        target.run(),
                        now,
                        now + localHealth.scaledMs(state.settings().ackTimeoutMs()),
                        now + localHealth.scaledMs(state.settings().probeIntervalMs())));
        sender.send(Message.Kind.PING, name, target.address(), lastSequence, name, "");
    }

    private void requestIndirectProbes(long sequence, Probe probe) {
        MemberTable.Entry target = state.table().get(probe.target);
        List<MemberUpdate> candidates = new ArrayList<>();
        for (MemberUpdate member : state.table().presentMembersExcept(state.localMember().name)) {
            if (member.state() == MemberState.ALIVE && !member.name().equals(probe.target)) {
                candidates.add(member);
            }
        }
        probe.isIndirectRequested = true;
        probe.proxiesAsked = Math.min(state.settings().indirectProbeCount(), candidates.size());
        for (int i = 0; i < probe.proxiesAsked && target != null; i++) {
            Collections.swap(candidates, i, i + state.random().nextInt(candidates.size() - i));
            MemberUpdate proxy = candidates.get(i);
            sender.send(
                    Message.Kind.PING_REQUEST,
                    proxy.name(),
                    proxy.address(),
                    sequence,
                    probe.target,
                    target.update.address());
        }
    }

    /** Probes a member, which need not be in the table, on behalf of another one. */
    void onPingRequest(double now, Message request) {
        if (indirectProbes.size() >= MAX_INDIRECT_PROBES) {
            return;
        }
        lastSequence++;
        indirectProbes.put(
                lastSequence,
                new IndirectProbe(
                        request.from(),
                        request.address(),
                        request.sequence(),
                        now,
                        now + state.settings().ackTimeoutMs() * NACK_TIMEOUT_FRACTION));
        sender.send(
                Message.Kind.PING,
                request.target(),
                request.targetAddress(),
                lastSequence,
                request.target(),
                "");
    }

    /**
     * Completes the probe that an acknowledgement answers, or forwards the acknowledgement to the
     * member that requested the probe.
     *
     * @return upper bound of the acknowledgement's transit time in milliseconds, or {@link
     *     #NO_PROBE} if no pending probe matches it
     */
    double onAck(double now, Message ack) {
        IndirectProbe indirect = indirectProbes.remove(ack.sequence());
        if (indirect != null) {
            sender.send(
                    Message.Kind.ACK,
                    indirect.requester,
                    indirect.requesterAddress,
                    indirect.sequence,
                    ack.from(),
                    "");
            return now - indirect.sentMs;
        }
        Probe probe = probes.get(ack.sequence());
        if (probe != null
                && (ack.from().equals(probe.target) || ack.target().equals(probe.target))) {
            probes.remove(ack.sequence());
            state.localHealth().improve();
            return now - probe.sentMs;
        }
        return NO_PROBE;
    }

    /** Records that a proxy answered, though it got no acknowledgement either. */
    void onNack(Message nack) {
        Probe probe = probes.get(nack.sequence());
        if (probe != null) {
            probe.nacks++;
        }
    }

    /** Cancels all pending probes, whose answers this process missed while it was paused. */
    void cancelAll() {
        probes.clear();
        indirectProbes.clear();
    }

    /** When {@link #advance} is due next. */
    double nextDueMs() {
        double nextDueMs = nextIntervalMs;
        for (Probe probe : probes.values()) {
            double probeDueMs = probe.isIndirectRequested ? probe.deadlineMs : probe.indirectDueMs;
            nextDueMs = Math.min(nextDueMs, probeDueMs);
        }
        for (IndirectProbe indirect : indirectProbes.values()) {
            nextDueMs = Math.min(nextDueMs, indirect.nackDueMs);
        }
        return nextDueMs;
    }
}
