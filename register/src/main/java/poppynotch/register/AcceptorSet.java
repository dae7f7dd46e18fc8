package poppynotch.register;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The acceptors that decide on a value. While the set changes, a majority of the former set must
 * agree too.
 *
 * @param members addresses of the acceptors
 * @param former addresses before the change in progress; empty when none is
 */
public record AcceptorSet(List<String> members, List<String> former) {

    /** A set that is not changing. */
    public static AcceptorSet of(Collection<String> members) {
        return new AcceptorSet(List.copyOf(members), List.of());
    }

    public AcceptorSet {
        members = List.copyOf(members);
        former = List.copyOf(former);
    }

    /** This set on its way to {@code next}. */
    public AcceptorSet changingTo(Collection<String> next) {
        return new AcceptorSet(List.copyOf(next), members);
    }

    /** The set once its change is complete. */
    public AcceptorSet settled() {
        return of(members);
    }

    public boolean isChanging() {
        return !former.isEmpty();
    }

    public boolean contains(String address) {
        return members.contains(address) || former.contains(address);
    }

    /** Everyone who has a vote. */
    public Set<String> everyone() {
        Set<String> all = new LinkedHashSet<>(members);
        all.addAll(former);
        return all;
    }

    /**
     * Whether {@code agreed} holds a majority of the members, and of the former members where there
     * are some.
     */
    public boolean isQuorum(Set<String> agreed) {
        return hasMajority(members, agreed) && (former.isEmpty() || hasMajority(former, agreed));
    }

    private static boolean hasMajority(List<String> set, Set<String> agreed) {
        return 2 * set.stream().filter(agreed::contains).count() > set.size();
    }

    /**
     * Whether {@code others} intersects every quorum that {@code lost} may have been part of, so
     * that they know whatever was chosen with its vote.
     */
    public boolean coversQuorumsOf(String lost, Set<String> others) {
        return covers(members, lost, others) && (former.isEmpty() || covers(former, lost, others));
    }

    private static boolean covers(List<String> set, String lost, Set<String> others) {
        long answered =
                set.stream()
                        .filter(member -> !member.equals(lost) && others.contains(member))
                        .count();
        int quorum = set.size() / 2 + 1;
        return !set.contains(lost) ? answered >= quorum : answered >= set.size() - quorum + 1;
    }
}
