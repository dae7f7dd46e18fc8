package poppynotch.fleet.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Repairs what lost messages leave different: compares tables with another member now and then, at
 * once where one tells a view that differs, and goes on trying those held dead and the seeds, so
 * that a cut heals. It is also how a process joins.
 */
final class AntiEntropy {

    /**
     * A process that joins asks the next seed after this: a connection to one that is gone may say
     * nothing.
     */
    private static final double JOIN_RETRY_MS = 1000;

    /**
     * Views that differ are looked into this often at most: for some seconds after each change they
     * do.
     */
    private static final double DIFFERENCE_SYNC_INTERVAL_MS = 2000;

    /** How its messages get away. */
    interface Sender {
        void ping(MemberUpdate target);

        void send(
                Message.Kind kind, String address, List<Long> buckets, List<MemberUpdate> updates);
    }

    private final SwimSettings settings;
    private final LocalMember localMember;
    private final MemberTable table;
    private final UpdateMerger updateMerger;
    private final MessageSender messageSender;
    private final Sender sender;
    private final RandomGenerator random;
    private double nextSyncMs;
    private double nextReconnectMs;
    private double nextSeedMs;
    private double nextDifferenceSyncMs;
    private int seedAttempts;

    AntiEntropy(
            SwimSettings tuning,
            LocalMember self,
            MemberTable table,
            UpdateMerger claims,
            MessageSender port,
            Sender sender,
            RandomGenerator random,
            double now) {
        this.settings = tuning;
        this.localMember = self;
        this.table = table;
        this.updateMerger = claims;
        this.messageSender = port;
        this.sender = sender;
        this.random = random;
        nextSyncMs = now + jittered(tuning.syncMs());
        nextReconnectMs = now + jittered(tuning.reconnectMs());
        nextSeedMs = now;
        nextDifferenceSyncMs = now;
    }

    private double jittered(double ms) {
        return ms * (0.5 + random.nextDouble());
    }

    void advance(double now) {
        if (now >= nextSeedMs) {
            nextSeedMs =
                    now + jittered(localMember.isEstablished() ? settings.syncMs() : JOIN_RETRY_MS);
            syncWithSeed();
        }
        if (now >= nextSyncMs) {
            nextSyncMs = now + jittered(settings.syncMs());
            MemberUpdate partner = randomMember(true);
            if (partner != null) {
                requestSync(partner.address(), List.of());
            }
        }
        if (now >= nextReconnectMs) {
            nextReconnectMs = now + jittered(settings.reconnectMs());
            // Those that left too: a new process at that place may find no seed alive.
            MemberUpdate gone = randomMember(false);
            if (gone != null) {
                sender.ping(gone);
            }
        }
    }

    private MemberUpdate randomMember(boolean present) {
        List<MemberUpdate> all = new ArrayList<>();
        for (MemberTable.Entry entry : table.entries()) {
            boolean fits =
                    present
                            ? entry.update.state() == MemberState.ALIVE
                            : !entry.update.state().isPresent();
            if (fits && !entry.update.name().equals(localMember.name)) {
                all.add(entry.update);
            }
        }
        return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
    }

    /**
     * Asks a seed that is no member as far as is known: it may be in a part of the fleet that is
     * not.
     */
    private void syncWithSeed() {
        Set<String> known = new HashSet<>();
        known.add(localMember.address);
        for (MemberTable.Entry entry : table.entries()) {
            if (entry.update.state().isPresent()) {
                known.add(entry.update.address());
            }
        }
        List<String> seeds =
                messageSender.seeds().stream().filter(seed -> !known.contains(seed)).toList();
        if (seeds.isEmpty()) {
            if (!localMember.isEstablished()
                    && messageSender.seeds().stream().allMatch(localMember.address::equals)) {
                // Nobody to ask: it is the first.
                localMember.markEstablished();
            }
            return;
        }
        // Each joiner begins with another one, and none with the same one twice in a row.
        if (seedAttempts == 0) {
            seedAttempts = 1 + random.nextInt(seeds.size());
        }
        requestSync(seeds.get(seedAttempts++ % seeds.size()), List.of());
    }

    /**
     * Asks a process for what differs at its side.
     *
     * @param claims what it must hear first, so that its answer takes that up: what is held of it
     */
    void requestSync(String address, List<MemberUpdate> claims) {
        sender.send(
                Message.Kind.SYNC_ASK,
                address,
                localMember.isEstablished() ? table.bucketDigests() : List.of(),
                claims);
    }

    /** A member tells a view that differs, though there is no news under way here. */
    void onViewDifference(double now, String address) {
        if (now >= nextDifferenceSyncMs) {
            nextDifferenceSyncMs = now + jittered(DIFFERENCE_SYNC_INTERVAL_MS);
            requestSync(address, List.of());
        }
    }

    void onSyncRequest(double now, Message ask) {
        ask.updates().forEach(update -> updateMerger.merge(now, update, true));
        List<Long> mine = table.bucketDigests();
        List<Long> differing = new ArrayList<>();
        boolean all = ask.buckets().size() != mine.size();
        for (int i = 0; i < mine.size(); i++) {
            if (all || !mine.get(i).equals(ask.buckets().get(i))) {
                differing.add((long) i);
            }
        }
        if (!differing.isEmpty()) {
            sender.send(
                    Message.Kind.SYNC_REPLY,
                    ask.address(),
                    differing,
                    updatesInBuckets(now, differing));
        }
    }

    private List<MemberUpdate> updatesInBuckets(double now, List<Long> buckets) {
        Set<Long> wanted = new HashSet<>(buckets);
        List<MemberUpdate> updates = new ArrayList<>();
        for (MemberTable.Entry entry : table.entries()) {
            if (wanted.contains((long) entry.bucket)) {
                updates.add(
                        entry.update.state().isPresent()
                                ? entry.update
                                : entry.update.withAgeMs(now - entry.sinceMs));
            }
        }
        return updates;
    }

    void onSyncReply(double now, Message reply) {
        boolean joins = !localMember.isEstablished();
        // First what is held of this process itself: what it tells next must come after that.
        reply.updates().forEach(update -> updateMerger.merge(now, update, true));
        if (joins) {
            localMember.markEstablished();
            updateMerger.disseminateSelf(now);
        }
        Set<MemberUpdate> told = new HashSet<>();
        reply.updates().forEach(update -> told.add(update.withAgeMs(0)));
        List<MemberUpdate> news =
                updatesInBuckets(now, reply.buckets()).stream()
                        .filter(update -> !told.contains(update.withAgeMs(0)))
                        .toList();
        if (joins && !news.stream().anyMatch(update -> update.name().equals(localMember.name))) {
            news = new ArrayList<>(news);
            news.add(localMember.currentUpdate());
        }
        if (!news.isEmpty()) {
            sender.send(Message.Kind.SYNC_PUSH, reply.address(), reply.buckets(), news);
        }
    }

    void onSyncPush(double now, Message push) {
        push.updates().forEach(update -> updateMerger.merge(now, update, true));
        localMember.markEstablished();
    }

    /** Soon: this process did not run for a while. */
    void syncSoon(double now) {
        nextSyncMs = now;
    }

    double nextDueMs() {
        return Math.min(nextSeedMs, Math.min(nextSyncMs, nextReconnectMs));
    }
}
