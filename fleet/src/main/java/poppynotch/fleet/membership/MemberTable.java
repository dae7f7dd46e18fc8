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
    static final int BUCKET_COUNT = 64;

    /** One member as held here. */
    static final class Entry {
        MemberUpdate update;

        /** When it became what it is. */
        double sinceMs;

        int bucket;
        long digest;
        long presenceDigest;

        /** The digest of its view, as it told last, and when; or never. */
        long reportedViewDigest;

        double reportedViewMs = Double.NEGATIVE_INFINITY;
    }

    private final Map<String, Entry> entries = new TreeMap<>();
    private final long[] bucketDigests = new long[BUCKET_COUNT];
    private final MessageDigest sha256;
    private long viewDigest;
    private int presentCount;
    private long epoch;

    MemberTable() {
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    Entry get(String name) {
        return entries.get(name);
    }

    Collection<Entry> entries() {
        return entries.values();
    }

    /** Puts a claim in place of what was held of the member. */
    void put(double now, MemberUpdate update) {
        Entry entry = entries.get(update.name());
        if (entry == null) {
            entry = new Entry();
            entry.bucket = (int) Math.floorMod(hash(update.name(), 0, 0, -1), (long) BUCKET_COUNT);
            entries.put(update.name(), entry);
        } else {
            subtractFromTotals(entry);
        }
        MemberProfile profile =
                update.profile() == null
                                && entry.update != null
                                && entry.update.run() == update.run()
                        ? entry.update.profile()
                        : update.profile();
        entry.update =
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
        if (presence != entry.presenceDigest) {
            epoch++;
        }
        entry.presenceDigest = presence;
        bucketDigests[entry.bucket] += entry.digest;
        viewDigest += presence;
        presentCount += isPresent ? 1 : 0;
    }

    void remove(String name) {
        Entry entry = entries.remove(name);
        if (entry != null) {
            subtractFromTotals(entry);
        }
    }

    private void subtractFromTotals(Entry entry) {
        bucketDigests[entry.bucket] -= entry.digest;
        viewDigest -= entry.presenceDigest;
        presentCount -= entry.update.state().isPresent() ? 1 : 0;
    }

    /** How many are alive or suspect. */
    int presentCount() {
        return presentCount;
    }

    /** Of who is present, each in which process. */
    long viewDigest() {
        return viewDigest;
    }

    /** How often that has changed here. */
    long epoch() {
        return epoch;
    }

    List<Long> bucketDigests() {
        List<Long> all = new ArrayList<>(BUCKET_COUNT);
        for (long bucket : bucketDigests) {
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
        sha256.update(
                ByteBuffer.allocate(text.length + 20)
                        .put(text)
                        .putLong(incarnation)
                        .putLong(run)
                        .putInt(state)
                        .array());
        return ByteBuffer.wrap(sha256.digest()).getLong();
    }
}
