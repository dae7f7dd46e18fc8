package poppynotch.fleet.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * The local process as a member of the fleet: its incarnation, profile and state. Only the process
 * itself raises its incarnation, which is how it refutes a suspicion.
 *
 * <p>Two processes may have the same name for a while, as in an upgrade. The one that joined later
 * is the member. The earlier one records it as its successor and is passive until the successor is
 * gone.
 *
 * <p>Owned by {@link Membership} and confined to its thread.
 */
final class LocalMember {

    final String name;
    final String address;

    /** Distinguishes this process from others of the same name; drawn at its start. */
    final long run;

    private long incarnation = 1;
    private MemberProfile profile;

    /**
     * Whether the process has exchanged tables with a member, so that it has the updates that the
     * fleet stored about its name before.
     */
    private boolean established;

    private boolean leaving;

    /** The {@link #run} of each process of this name that this one replaced. */
    private final Set<Long> replacedRuns = new HashSet<>();

    /** The process that replaced this one as the member of this name, or null. */
    private MemberUpdate successor;

    LocalMember(String name, String address, long run, MemberProfile profile) {
        this.name = name;
        this.address = address;
        this.run = run;
        this.profile = profile;
    }

    /** The update that this process disseminates about itself. */
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
     * Handles an update that another member sent about this process's name. It may raise the
     * incarnation, or set the successor.
     *
     * @return whether {@link #currentUpdate} must be disseminated, to refute the update
     */
    boolean onUpdate(MemberUpdate update) {
        if (update.run() == run) {
            return refutesUpdateOfThisRun(update);
        }
        if (update.incarnation() < incarnation) {
            return true;
        }
        boolean isPredecessor =
                !established
                        || replacedRuns.contains(update.run())
                        || update.address().equals(address)
                        || !update.state().isPresent();
        if (isPredecessor || leaving) {
            replacedRuns.add(update.run());
            incarnation = update.incarnation() + 1;
            return true;
        }
        if (!update.isLaterThan(currentUpdate())) {
            return true;
        }
        successor = update;
        return false;
    }

    private boolean refutesUpdateOfThisRun(MemberUpdate update) {
        boolean isConsistent =
                update.incarnation() < incarnation
                        || (update.incarnation() == incarnation
                                && update.state() == MemberState.ALIVE);
        if (leaving || isConsistent) {
            return false;
        }
        incarnation = update.incarnation() + 1;
        return true;
    }

    /** Whether an update reports this process as unhealthy and was refuted before. */
    boolean isAlreadyRefuted(MemberUpdate update) {
        return update.run() == run
                && update.incarnation() < incarnation
                && update.state() != MemberState.ALIVE;
    }

    /** Records that the process has exchanged tables with a member, or is the fleet's first. */
    void markEstablished() {
        established = true;
    }

    boolean isEstablished() {
        return established;
    }

    /** Replaces the profile, in a new incarnation. */
    void updateProfile(MemberProfile newProfile) {
        profile = newProfile;
        incarnation++;
    }

    MemberProfile profile() {
        return profile;
    }

    /** Begins a graceful leave. Not to be called while there is a successor. */
    void leave() {
        leaving = true;
        incarnation++;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** The process that replaced this one as the member of this name, or null. */
    MemberUpdate successor() {
        return successor;
    }

    /** Makes this process the member again, as its successor is gone. */
    void resumeMembership() {
        replacedRuns.add(successor.run());
        incarnation = successor.incarnation() + 1;
        successor = null;
    }
}
