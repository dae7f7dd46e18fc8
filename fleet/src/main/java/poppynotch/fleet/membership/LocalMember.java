package poppynotch.fleet.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * Who this process is to the others. It alone raises its incarnation. Of two processes of one name,
 * as there are in an upgrade, the one that came later is the member, and the other keeps still
 * until that one is gone.
 */
final class LocalMember {

    final String name;
    final String address;
    final long run;
    private long incarnation = 1;
    private MemberProfile profile;

    /** It has exchanged tables with a member, so it knows what was held of its name before. */
    private boolean markEstablished;

    private boolean leaving;

    /** Processes of this name that came before this one. */
    private final Set<Long> replacedRuns = new HashSet<>();

    /** The process that is the member in place of this one, or null. */
    private MemberUpdate successor;

    LocalMember(String name, String address, long run, MemberProfile profile) {
        this.name = name;
        this.address = address;
        this.run = run;
        this.profile = profile;
    }

    MemberUpdate currentUpdate() {
        return new MemberUpdate(
                name,
                address,
                incarnation,
                run,
                leaving ? MemberState.LEFT : MemberState.ALIVE,
                "",
                profile,
                0);
    }

    /**
     * Hears what others hold of this process.
     *
     * @return whether there is something to tell them
     */
    boolean onUpdate(MemberUpdate told) {
        if (told.run() == run) {
            if (leaving
                    || told.incarnation() < incarnation
                    || told.incarnation() == incarnation && told.state() == MemberState.ALIVE) {
                return false;
            }
            incarnation = told.incarnation() + 1;
            return true;
        }
        if (told.incarnation() < incarnation) {
            return true;
        }
        boolean isBefore =
                !markEstablished
                        || replacedRuns.contains(told.run())
                        || told.address().equals(address)
                        || !told.state().isPresent();
        if (isBefore || leaving) {
            replacedRuns.add(told.run());
            incarnation = told.incarnation() + 1;
            return true;
        }
        if (!told.isLaterThan(currentUpdate())) {
            return true;
        }
        successor = told;
        return false;
    }

    /** Whether a claim that it is not well was answered before. */
    boolean isAlreadyRefuted(MemberUpdate told) {
        return told.run() == run
                && told.incarnation() < incarnation
                && told.state() != MemberState.ALIVE;
    }

    void markEstablished() {
        markEstablished = true;
    }

    boolean isEstablished() {
        return markEstablished;
    }

    void updateProfile(MemberProfile next) {
        profile = next;
        incarnation++;
    }

    MemberProfile profile() {
        return profile;
    }

    /** Leaves by its own word; whoever is only a predecessor has nothing to say. */
    void leave() {
        leaving = true;
        incarnation++;
    }

    boolean isLeaving() {
        return leaving;
    }

    MemberUpdate successor() {
        return successor;
    }

    /** The successor is gone: this process is the member again. */
    void resumeMembership() {
        replacedRuns.add(successor.run());
        incarnation = successor.incarnation() + 1;
        successor = null;
    }
}
