package poppynotch.fleet.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a process holds of each member, with digests that tell whether two processes hold the same:
 * sums of each entry's own, so that a change costs one entry and not the table.
 */
final class MemberTable {

    /** Tables are compared by so many parts: the digests of all fit a small message. */
    static final int BUCKETS = 64;

    /** One member as held here. */
    static final class Entry {
        MemberUpdate held;

        /** When it became what it is. */
        double sinceMs;

        int bucket;
        long digest;
        long presence;

        /** The digest of its view, as it told last, and when; or never. */
        long toldView;

        double toldViewMs = Double.NEGATIVE_INFINITY;
    }

    private final Map<String, Entry> entries = new TreeMap<>();
    private final long[] buckets = new long[BUCKETS];
    private final MessageDigest sha;
    private long view;
    private int present;
    private long epoch;

    MemberTable() {
        try {
            sha = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    Entry get(String name) {
        return entries.get(name);
    }

    Collection<Entry> all() {
        return entries.values();
    }

    /** Puts a claim in place of what was held of the member. */
    void put(double now, MemberUpdate update) {
        Entry entry = entries.get(update.name());
        if (entry == null) {
            entry = new Entry();
            entry.bucket = (int) Math.floorMod(hash(update.name(), 0, 0, -1), (long) BUCKETS);
            entries.put(update.name(), entry);
        } else {
            leave(entry);
        }
        MemberProfile profile =
                update.profile() == null && entry.held != null && entry.held.run() == update.run()
                        ? entry.held.profile()
                        : update.profile();
        entry.held =
                new MemberUpdate(
                        update.name(),
                        update.address(),
                        update.incarnation(),
                        update.run(),
                        update.state(),
                        update.by(),
                        profile,
                        0);
        entry.sinceMs = now - update.ageMs();
        // A suspicion is nothing that tables must agree on: it ends by itself, one way or the
        // other.
        MemberState settled =
                update.state() == MemberState.SUSPECT ? MemberState.ALIVE : update.state();
        entry.digest = hash(update.name(), update.incarnation(), update.run(), settled.ordinal());
        boolean isPresent = update.state().isPresent();
        long presence = isPresent ? hash(update.name(), 0, update.run(), 0) : 0;
        if (presence != entry.presence) {
            epoch++;
        }
        entry.presence = presence;
        buckets[entry.bucket] += entry.digest;
        view += presence;
        present += isPresent ? 1 : 0;
    }

    void remove(String name) {
        Entry entry = entries.remove(name);
        if (entry != null) {
            leave(entry);
        }
    }

    private void leave(Entry entry) {
        buckets[entry.bucket] -= entry.digest;
        view -= entry.presence;
        present -= entry.held.state().isPresent() ? 1 : 0;
    }

    /** How many are alive or suspect. */
    int present() {
        return present;
    }

    /** Of who is present, each in which process. */
    long viewDigest() {
        return view;
    }

    /** How often that has changed here. */
    long epoch() {
        return epoch;
    }

    List<Long> digests() {
        List<Long> all = new ArrayList<>(BUCKETS);
        for (long bucket : buckets) {
            all.add(bucket);
        }
        return all;
    }

    /**
     * Digest of one entry: SHA-256 of name, incarnation, process and state, the first 8 bytes of
     * it.
     */
    private long hash(String name, long incarnation, long run, int state) {
        byte[] text = name.getBytes(StandardCharsets.UTF_8);
        sha.update(
                ByteBuffer.allocate(text.length + 20)
                        .put(text)
                        .putLong(incarnation)
                        .putLong(run)
                        .putInt(state)
                        .array());
        return ByteBuffer.wrap(sha.digest()).getLong();
    }
}
