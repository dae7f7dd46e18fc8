package poppynotch.register;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The addresses of the acceptors that decide on a value. It is immutable. While the set changes
 * (joint consensus), a quorum needs a majority of the members and a majority of the former members.
 *
 * @param members addresses of the acceptors
 * @param former addresses before the change in progress; empty when none is in progress
 */
public record AcceptorSet(List<String> members, List<String> former) {

    /** A set without a change in progress. */
    public static AcceptorSet of(Collection<String> members) {
        return new AcceptorSet(List.copyOf(members), List.of());
    }

    public AcceptorSet {
        members = List.copyOf(members);
        former = List.copyOf(former);
    }

    /** This set with a change to {@code next} in progress. */
    public AcceptorSet changingTo(Collection<String> next) {
        return new AcceptorSet(List.copyOf(next), members);
    }

    /** The set once its change is complete. */
    public AcceptorSet withChangeCompleted() {
        return of(members);
    }

    /** Whether a change of the set is in progress. */
    public boolean isChanging() {
        return !former.isEmpty();
    }

    /** Whether {@code address} is a member or a former member. */
    public boolean contains(String address) {
        return members.contains(address) || former.contains(address);
    }

    /** All members, then the former members that are not members any more. */
    public Set<String> voters() {
        Set<String> voters = new LinkedHashSet<>(members);
        voters.addAll(former);
        return voters;
    }

    /**
     * Whether {@code voters} contains a majority of the members, and of the former members while
     * the set changes.
     */
    public boolean isQuorum(Set<String> voters) {
        return hasMajority(members, voters) && (former.isEmpty() || hasMajority(former, voters));
    }

    private static boolean hasMajority(List<String> group, Set<String> voters) {
        return 2 * group.stream().filter(voters::contains).count() > group.size();
    }

    /**
     * Whether any {@code count} acceptors may lose their disks at once: every chosen value is on at
     * least one more disk, and the remaining acceptors suffice to recover the lost votes.
     */
    public boolean toleratesDiskLosses(int count) {
        return members.size() / 2 >= count && (former.isEmpty() || former.size() / 2 >= count);
    }

    /**
     * Whether {@code others} intersects every quorum that {@code lost} may have been part of, so
     * that they know every value that was chosen with its vote.
     */
    public boolean intersectsQuorumsOf(String lost, Set<String> others) {
        return covers(members, lost, others) && (former.isEmpty() || covers(former, lost, others));
    }

    private static boolean covers(List<String> group, String lost, Set<String> others) {
        long answered =
                group.stream()
                        .filter(member -> !member.equals(lost) && others.contains(member))
                        .count();
        int quorumSize = group.size() / 2 + 1;
        int needed = group.contains(lost) ? group.size() - quorumSize + 1 : quorumSize;
        return answered >= needed;
    }
}
