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
 * The last accepted update about each member, with digests by which two processes detect whether
 * their tables differ. A digest is the sum of the entries' digests, so that a change costs the work
 * for one entry and not for the table.
 *
 * <p>Owned by {@link Membership} and confined to its thread.
 */
final class MemberTable {

    /** Tables are compared in this many buckets, all of whose digests fit a small message. */
    static final int BUCKET_COUNT = 64;

    /**
     * Hashed in place of a state's ordinal to select a member's bucket. No state has this ordinal,
     * so the hash differs from the digest of every entry.
     */
    private static final int BUCKET_HASH_STATE = -1;

    /** The entry of one member. */
    static final class Entry {
        /** The last update that was accepted. */
        MemberUpdate update;

        /** When the member entered this state. */
        double sinceMs;

        int bucket;
        long digest;

        /** Contribution of this entry to the view's digest; 0 while the member is not present. */
        long presenceDigest;

        /** The digest of its view that the member reported last. */
        long reportedViewDigest;

        /** When the member reported it; negative infinity before the first time. */
        double reportedViewMs = Double.NEGATIVE_INFINITY;

        /** Whether the member is alive or suspect. */
        boolean isPresent() {
            return update.state().isPresent();
        }
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
            throw new IllegalStateException("SHA-256 is not supported by this JVM", e);
        }
    }

    /** The entry of a member, or null. */
    Entry get(String name) {
        return entries.get(name);
    }

    /** All entries, by name. */
    Collection<Entry> entries() {
        return entries.values();
    }

    /** The members that are alive or suspect, by name, without a given one. */
    List<MemberUpdate> presentMembersExcept(String name) {
        List<MemberUpdate> present = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.isPresent() && !entry.update.name().equals(name)) {
                present.add(entry.update);
            }
        }
        return present;
    }

    /** Stores an update in place of the previous one about the member. */
    void put(double now, MemberUpdate update) {
        Entry entry = entries.get(update.name());
        if (entry == null) {
            entry = new Entry();
            entry.bucket = bucketOf(update.name());
            entries.put(update.name(), entry);
        } else {
            subtractFromTotals(entry);
        }
        entry.update = withKnownProfile(update, entry.update);
        entry.sinceMs = now - update.ageMs();
        // A suspicion is not a difference between tables: it ends without an exchange, by a
        // refutation or a time-out.
        MemberState digestState =
                update.state() == MemberState.SUSPECT ? MemberState.ALIVE : update.state();
        entry.digest =
                hash(update.name(), update.incarnation(), update.run(), digestState.ordinal());
        boolean isPresent = entry.isPresent();
        long presenceDigest = isPresent ? hash(update.name(), 0, update.run(), 0) : 0;
        if (presenceDigest != entry.presenceDigest) {
            epoch++;
        }
        entry.presenceDigest = presenceDigest;
        bucketDigests[entry.bucket] += entry.digest;
        viewDigest += presenceDigest;
        presentCount += isPresent ? 1 : 0;
    }

    /** Copies an update; one without a profile gets that of the same process, if it is known. */
    private static MemberUpdate withKnownProfile(MemberUpdate update, MemberUpdate previous) {
        boolean keepsProfile =
                update.profile() == null && previous != null && previous.run() == update.run();
        return new MemberUpdate(
                update.name(),
                update.address(),
                update.incarnation(),
                update.run(),
                update.state(),
                update.suspectedBy(),
                keepsProfile ? previous.profile() : update.profile(),
                0);
    }

    /** Removes a member, if it is in the table. */
    void remove(String name) {
        Entry entry = entries.remove(name);
        if (entry != null) {
            subtractFromTotals(entry);
        }
    }

    private void subtractFromTotals(Entry entry) {
        bucketDigests[entry.bucket] -= entry.digest;
        viewDigest -= entry.presenceDigest;
        presentCount -= entry.isPresent() ? 1 : 0;
    }

    /** Number of members that are alive or suspect. */
    int presentCount() {
        return presentCount;
    }

    /** Digest of the members that are present, with the run of each. */
    long viewDigest() {
        return viewDigest;
    }

    /** How often the set of present members has changed in this table. */
    long epoch() {
        return epoch;
    }

    /** The digest of each bucket, by the bucket's number. */
    List<Long> bucketDigests() {
        List<Long> digests = new ArrayList<>(BUCKET_COUNT);
        for (long digest : bucketDigests) {
            digests.add(digest);
        }
        return digests;
    }

    private int bucketOf(String name) {
        return (int) Math.floorMod(hash(name, 0, 0, BUCKET_HASH_STATE), (long) BUCKET_COUNT);
    }

    /** The first 8 bytes of the SHA-256 of name, incarnation, run and state. */
    private long hash(String name, long incarnation, long run, int state) {
        byte[] nameBytes = name.getBytes(StandardCharsets.UTF_8);
        sha256.update(
                ByteBuffer.allocate(nameBytes.length + 2 * Long.BYTES + Integer.BYTES)
                        .put(nameBytes)
                        .putLong(incarnation)
                        .putLong(run)
                        .putInt(state)
                        .array());
        return ByteBuffer.wrap(sha256.digest()).getLong();
    }
}
