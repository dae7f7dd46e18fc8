package poppynotch.fleet.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Anti-entropy repair: finds and repairs differences between tables that lost messages caused. It
 * compares tables with another member periodically, and at once when a member reports a different
 * view. It also keeps contacting members that are dead or left, and the seeds, so that the parts of
 * a fleet merge again after a network partition. A process joins the fleet by the same exchange.
 *
 * <p>Owned by {@link Membership} and confined to its thread.
 */
final class AntiEntropy {

    /**
     * A joining process asks the next seed after this time, as a connection to a seed that is gone
     * may fail without an error.
     */
    private static final double JOIN_RETRY_MS = 1000;

    /**
     * Minimum time between exchanges that a different view triggers: the views of correct members
     * differ for some seconds after each change.
     */
    private static final double DIFFERENCE_SYNC_INTERVAL_MS = 2000;

    /** Minimum of the random factor by which an interval is multiplied; the maximum is 1 more. */
    private static final double MIN_JITTER_FRACTION = 0.5;

    /** Sends the messages of anti-entropy. */
    interface Sender {
        /** Probes a member outside of the prober's rounds. */
        void ping(MemberUpdate target);

        /** Sends a message of a table exchange, over a connection. */
        void send(
                Message.Kind kind, String address, List<Long> buckets, List<MemberUpdate> updates);
    }

    private final ProtocolState state;
    private final LocalMember localMember;
    private final MemberTable table;
    private final UpdateMerger updateMerger;
    private final MembershipHost host;
    private final Sender sender;
    private double nextSyncMs;
    private double nextReconnectMs;
    private double nextSeedMs;
    private double nextDifferenceSyncMs;

    /** Position of the next seed, modulo the length of the list; 0 before the first attempt. */
    private int seedAttempts;

    AntiEntropy(
            ProtocolState state,
            UpdateMerger updateMerger,
            MembershipHost host,
            Sender sender,
            double now) {
        this.state = state;
        localMember = state.localMember();
        table = state.table();
        this.updateMerger = updateMerger;
        this.host = host;
        this.sender = sender;
        nextSyncMs = now + jittered(state.settings().syncIntervalMs());
        nextReconnectMs = now + jittered(state.settings().reconnectIntervalMs());
        nextSeedMs = now;
        nextDifferenceSyncMs = now;
    }

    private double jittered(double intervalMs) {
        return intervalMs * (MIN_JITTER_FRACTION + state.random().nextDouble());
    }

    /** Begins the table exchanges and probes that are due. */
    void advance(double now) {
        if (now >= nextSeedMs) {
            double intervalMs =
                    localMember.isEstablished() ? state.settings().syncIntervalMs() : JOIN_RETRY_MS;
            nextSeedMs = now + jittered(intervalMs);
            syncWithSeed();
        }
        if (now >= nextSyncMs) {
            nextSyncMs = now + jittered(state.settings().syncIntervalMs());
            MemberUpdate partner = randomMember(true);
            if (partner != null) {
                requestSync(partner.address(), List.of());
            }
        }
        if (now >= nextReconnectMs) {
            nextReconnectMs = now + jittered(state.settings().reconnectIntervalMs());
            // Members that left are probed too: a new process at their address may find no seed
            // alive.
            MemberUpdate absent = randomMember(false);
            if (absent != null) {
                sender.ping(absent);
            }
        }
    }

    /** A random other member that is alive, or one that is dead or left; null if there is none. */
    private MemberUpdate randomMember(boolean isAlive) {
        List<MemberUpdate> candidates = new ArrayList<>();
        for (MemberTable.Entry entry : table.entries()) {
            boolean matches =
                    isAlive ? entry.update.state() == MemberState.ALIVE : !entry.isPresent();
            if (matches && !entry.update.name().equals(localMember.name)) {
                candidates.add(entry.update);
            }
        }
        return candidates.isEmpty()
                ? null
                : candidates.get(state.random().nextInt(candidates.size()));
    }

    /**
     * Begins an exchange with a seed whose address is not that of a present member: to join the
     * fleet, or to reach the other part of a partitioned fleet.
     */
    private void syncWithSeed() {
        Set<String> knownAddresses = new HashSet<>();
        knownAddresses.add(localMember.address);
        for (MemberTable.Entry entry : table.entries()) {
            if (entry.isPresent()) {
                knownAddresses.add(entry.update.address());
            }
        }
        List<String> seeds =
                host.seedAddresses().stream()
                        .filter(seed -> !knownAddresses.contains(seed))
                        .toList();
        if (seeds.isEmpty()) {
            if (!localMember.isEstablished()
                    && host.seedAddresses().stream().allMatch(localMember.address::equals)) {
                // There is no seed but this process itself, so it is the first of the fleet.
                localMember.markEstablished();
            }
            return;
        }
        // The first seed is random, to spread joining processes; each attempt asks the next one.
        if (seedAttempts == 0) {
            seedAttempts = 1 + state.random().nextInt(seeds.size());
        }
        String seed = seeds.get(seedAttempts % seeds.size());
        seedAttempts++;
        requestSync(seed, List.of());
    }

    /**
     * Asks a process for the table entries that differ.
     *
     * @param updates updates about that process, which it merges before it answers, so that its
     *     answer takes account of them
     */
    void requestSync(String address, List<MemberUpdate> updates) {
        sender.send(
                Message.Kind.SYNC_REQUEST,
                address,
                localMember.isEstablished() ? table.bucketDigests() : List.of(),
                updates);
    }

    /** Handles a different view that a member reported while no updates were queued here. */
    void onViewDifference(double now, String address) {
        if (now >= nextDifferenceSyncMs) {
            nextDifferenceSyncMs = now + jittered(DIFFERENCE_SYNC_INTERVAL_MS);
            requestSync(address, List.of());
        }
    }

    /** Answers the first message of an exchange with the entries in the buckets that differ. */
    void onSyncRequest(double now, Message request) {
        mergeAll(now, request);
        List<Long> localDigests = table.bucketDigests();
        List<Long> differingBuckets = new ArrayList<>();
        boolean wantsAll = request.buckets().size() != localDigests.size();
        for (int i = 0; i < localDigests.size(); i++) {
            if (wantsAll || !localDigests.get(i).equals(request.buckets().get(i))) {
                differingBuckets.add((long) i);
            }
        }
        if (!differingBuckets.isEmpty()) {
            sender.send(
                    Message.Kind.SYNC_REPLY,
                    request.address(),
                    differingBuckets,
                    updatesInBuckets(now, differingBuckets));
        }
    }

    private void mergeAll(double now, Message message) {
        message.updates().forEach(update -> updateMerger.merge(now, update, true));
    }

    private List<MemberUpdate> updatesInBuckets(double now, List<Long> buckets) {
        Set<Long> wantedBuckets = new HashSet<>(buckets);
        List<MemberUpdate> updates = new ArrayList<>();
        for (MemberTable.Entry entry : table.entries()) {
            if (wantedBuckets.contains((long) entry.bucket)) {
                updates.add(
                        entry.isPresent()
                                ? entry.update
                                : entry.update.withAgeMs(now - entry.sinceMs));
            }
        }
        return updates;
    }

    /** Merges the answer to a sync request, and sends back what the other process lacks. */
    void onSyncReply(double now, Message reply) {
        boolean isJoining = !localMember.isEstablished();
        // Merge first: the reply may have an old update about this process's name, which this
        // process must override.
        mergeAll(now, reply);
        if (isJoining) {
            localMember.markEstablished();
            updateMerger.disseminateSelf(now);
        }
        Set<MemberUpdate> received = new HashSet<>();
        reply.updates().forEach(update -> received.add(update.withAgeMs(0)));
        List<MemberUpdate> missing = new ArrayList<>();
        for (MemberUpdate update : updatesInBuckets(now, reply.buckets())) {
            if (!received.contains(update.withAgeMs(0))) {
                missing.add(update);
            }
        }
        if (isJoining
                && missing.stream().noneMatch(update -> update.name().equals(localMember.name))) {
            missing.add(localMember.currentUpdate());
        }
        if (!missing.isEmpty()) {
            sender.send(Message.Kind.SYNC_PUSH, reply.address(), reply.buckets(), missing);
        }
    }

    /** Merges the last message of an exchange. */
    void onSyncPush(double now, Message push) {
        mergeAll(now, push);
        localMember.markEstablished();
    }

    /** Makes the next exchange due at once, as this process was paused. */
    void syncSoon(double now) {
        nextSyncMs = now;
    }

    /** When {@link #advance} is due next. */
    double nextDueMs() {
        return Math.min(nextSeedMs, Math.min(nextSyncMs, nextReconnectMs));
    }
}
