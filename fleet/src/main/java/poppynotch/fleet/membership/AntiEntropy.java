package poppynotch.fleet.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Anti-entropy repair: finds and repairs differences between tables that lost messages left. It
 * compares tables with another member from time to time, and at once when a member reports a
 * different view. It also keeps trying members that are dead or left, and the seeds, so that the
 * fleet heals after a network partition. A process joins the fleet by the same exchange.
 *
 * <p>Owned by {@link Membership} and confined to its thread.
 */
final class AntiEntropy {

    /**
     * A process that joins asks the next seed after this time: a connection to a seed that is gone
     * may fail without notice.
     */
    private static final double JOIN_RETRY_MS = 1000;

    /**
     * Minimum time between exchanges because of a different view: for some seconds after each
     * change the views do differ.
     */
    private static final double DIFFERENCE_SYNC_INTERVAL_MS = 2000;

    /** An interval is drawn between this fraction of its length and 1 more. */
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

    /** Position in the list of seeds, counted on; 0 before the first attempt. */
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

    /** Begins the exchanges and attempts that are due. */
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
            // Members that left are tried too: a new process at their address may find no seed
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
     * Begins an exchange with a seed that is not known as a member: it may be in the other part of
     * a partitioned fleet.
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
                // There is no other process to ask: this one is the first of the fleet.
                localMember.markEstablished();
            }
            return;
        }
        // Each joining process begins with another seed, and none asks one twice in a row.
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
     * @param updates what that process must handle first, so that its answer takes account of it:
     *     what this process knows of it
     */
    void requestSync(String address, List<MemberUpdate> updates) {
        sender.send(
                Message.Kind.SYNC_REQUEST,
                address,
                localMember.isEstablished() ? table.bucketDigests() : List.of(),
                updates);
    }

    /** A member reports a different view, though no updates are queued here. */
    void onViewDifference(double now, String address) {
        if (now >= nextDifferenceSyncMs) {
            nextDifferenceSyncMs = now + jittered(DIFFERENCE_SYNC_INTERVAL_MS);
            requestSync(address, List.of());
        }
    }

    /** Answers the first message of an exchange with the entries of the buckets that differ. */
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

    /** Merges the answer to an exchange, and sends back what the other process lacks. */
    void onSyncReply(double now, Message reply) {
        boolean isJoining = !localMember.isEstablished();
        // First what the other process knows of this one: the next update must override that.
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

    /** Makes the next exchange due at once, as this process did not run for a while. */
    void syncSoon(double now) {
        nextSyncMs = now;
    }

    /** When {@link #advance} is due next. */
    double nextDueMs() {
        return Math.min(nextSeedMs, Math.min(nextSyncMs, nextReconnectMs));
    }
}
