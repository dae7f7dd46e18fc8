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
    private static final double JOIN_MS = 1000;

    /**
     * Views that differ are looked into this often at most: for some seconds after each change they
     * do.
     */
    private static final double DIFFER_MS = 2000;

    /** How its messages get away. */
    interface Sender {
        void ping(MemberUpdate target);

        void send(
                Message.Kind kind, String address, List<Long> buckets, List<MemberUpdate> updates);
    }

    private final SwimSettings tuning;
    private final LocalMember self;
    private final MemberTable table;
    private final UpdateMerger claims;
    private final MessageSender port;
    private final Sender sender;
    private final RandomGenerator random;
    private double syncMs;
    private double reconnectMs;
    private double seedMs;
    private double differMs;
    private int tries;

    AntiEntropy(
            SwimSettings tuning,
            LocalMember self,
            MemberTable table,
            UpdateMerger claims,
            MessageSender port,
            Sender sender,
            RandomGenerator random,
            double now) {
        this.tuning = tuning;
        this.self = self;
        this.table = table;
        this.claims = claims;
        this.port = port;
        this.sender = sender;
        this.random = random;
        syncMs = now + jittered(tuning.syncMs());
        reconnectMs = now + jittered(tuning.reconnectMs());
        seedMs = now;
        differMs = now;
    }

    private double jittered(double ms) {
        return ms * (0.5 + random.nextDouble());
    }

    void advance(double now) {
        if (now >= seedMs) {
            seedMs = now + jittered(self.isEstablished() ? tuning.syncMs() : JOIN_MS);
            askSeed();
        }
        if (now >= syncMs) {
            syncMs = now + jittered(tuning.syncMs());
            MemberUpdate partner = any(true);
            if (partner != null) {
                ask(partner.address(), List.of());
            }
        }
        if (now >= reconnectMs) {
            reconnectMs = now + jittered(tuning.reconnectMs());
            // Those that left too: a new process at that place may find no seed alive.
            MemberUpdate gone = any(false);
            if (gone != null) {
                sender.ping(gone);
            }
        }
    }

    private MemberUpdate any(boolean present) {
        List<MemberUpdate> all = new ArrayList<>();
        for (MemberTable.Entry entry : table.all()) {
            boolean fits =
                    present
                            ? entry.held.state() == MemberState.ALIVE
                            : !entry.held.state().isPresent();
            if (fits && !entry.held.name().equals(self.name)) {
                all.add(entry.held);
            }
        }
        return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
    }

    /**
     * Asks a seed that is no member as far as is known: it may be in a part of the fleet that is
     * not.
     */
    private void askSeed() {
        Set<String> known = new HashSet<>();
        known.add(self.address);
        for (MemberTable.Entry entry : table.all()) {
            if (entry.held.state().isPresent()) {
                known.add(entry.held.address());
            }
        }
        List<String> seeds = port.seeds().stream().filter(seed -> !known.contains(seed)).toList();
        if (seeds.isEmpty()) {
            if (!self.isEstablished() && port.seeds().stream().allMatch(self.address::equals)) {
                // Nobody to ask: it is the first.
                self.established();
            }
            return;
        }
        // Each joiner begins with another one, and none with the same one twice in a row.
        if (tries == 0) {
            tries = 1 + random.nextInt(seeds.size());
        }
        ask(seeds.get(tries++ % seeds.size()), List.of());
    }

    /**
     * Asks a process for what differs at its side.
     *
     * @param claims what it must hear first, so that its answer takes that up: what is held of it
     */
    void ask(String address, List<MemberUpdate> claims) {
        sender.send(
                Message.Kind.SYNC_ASK,
                address,
                self.isEstablished() ? table.digests() : List.of(),
                claims);
    }

    /** A member tells a view that differs, though there is no news under way here. */
    void differs(double now, String address) {
        if (now >= differMs) {
            differMs = now + jittered(DIFFER_MS);
            ask(address, List.of());
        }
    }

    void asked(double now, Message ask) {
        ask.updates().forEach(update -> claims.hear(now, update, true));
        List<Long> mine = table.digests();
        List<Long> differing = new ArrayList<>();
        boolean all = ask.buckets().size() != mine.size();
        for (int i = 0; i < mine.size(); i++) {
            if (all || !mine.get(i).equals(ask.buckets().get(i))) {
                differing.add((long) i);
            }
        }
        if (!differing.isEmpty()) {
            sender.send(Message.Kind.SYNC_REPLY, ask.address(), differing, entries(now, differing));
        }
    }

    private List<MemberUpdate> entries(double now, List<Long> buckets) {
        Set<Long> wanted = new HashSet<>(buckets);
        List<MemberUpdate> updates = new ArrayList<>();
        for (MemberTable.Entry entry : table.all()) {
            if (wanted.contains((long) entry.bucket)) {
                updates.add(
                        entry.held.state().isPresent()
                                ? entry.held
                                : entry.held.aged(now - entry.sinceMs));
            }
        }
        return updates;
    }

    void replied(double now, Message reply) {
        boolean joins = !self.isEstablished();
        // First what is held of this process itself: what it tells next must come after that.
        reply.updates().forEach(update -> claims.hear(now, update, true));
        if (joins) {
            self.established();
            claims.sayOfSelf(now);
        }
        Set<MemberUpdate> told = new HashSet<>();
        reply.updates().forEach(update -> told.add(update.aged(0)));
        List<MemberUpdate> news =
                entries(now, reply.buckets()).stream()
                        .filter(update -> !told.contains(update.aged(0)))
                        .toList();
        if (joins && !news.stream().anyMatch(update -> update.name().equals(self.name))) {
            news = new ArrayList<>(news);
            news.add(self.claim());
        }
        if (!news.isEmpty()) {
            sender.send(Message.Kind.SYNC_PUSH, reply.address(), reply.buckets(), news);
        }
    }

    void pushed(double now, Message push) {
        push.updates().forEach(update -> claims.hear(now, update, true));
        self.established();
    }

    /** Soon: this process did not run for a while. */
    void hurry(double now) {
        syncMs = now;
    }

    double nextMs() {
        return Math.min(seedMs, Math.min(syncMs, reconnectMs));
    }
}
