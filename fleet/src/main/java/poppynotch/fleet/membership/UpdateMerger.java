package poppynotch.fleet.membership;

/**
 * Merges received updates into the table, by the precedence rules of SWIM (section 4.2) and the
 * suspicion rules of Lifeguard, and queues what is new for gossip.
 *
 * <p>Owned by {@link Membership} and confined to its thread.
 */
final class UpdateMerger {

    /** Maximum plausible increase of an incarnation; a larger one is an error of the sender. */
    private static final long MAX_INCARNATION_JUMP = 100_000;

    /**
     * Expected number of members that probe a suspect which another one reports, as a multiple of
     * the needed confirmations.
     */
    private static final double EXTRA_PROBES_PER_CONFIRMATION = 2.0;

    private final ProtocolState state;
    private final SwimSettings settings;
    private final LocalMember localMember;
    private final MemberTable table;
    private final SuspicionTimers suspicionTimers;
    private final ViewConvergence viewConvergence;
    private final MembershipHost host;
    private long implausibleUpdates;

    UpdateMerger(
            ProtocolState state,
            SuspicionTimers suspicionTimers,
            ViewConvergence viewConvergence,
            MembershipHost host) {
        this.state = state;
        settings = state.settings();
        localMember = state.localMember();
        table = state.table();
        this.suspicionTimers = suspicionTimers;
        this.viewConvergence = viewConvergence;
        this.host = host;
    }

    /**
     * Merges one update.
     *
     * @param isTableExchange whether it was received in a table exchange and so may be old: the
     *     death of a present member is then merged as a suspicion, which the member may refute,
     *     unless {@link #isLongDead} confirms this process's own suspicion; and an unknown member
     *     is added to the table even if it is dead or left, unless it would already be forgotten
     * @return the name of a suspect that this process should probe itself, else null
     */
    String merge(double now, MemberUpdate update, boolean isTableExchange) {
        if (update.name().equals(localMember.name)) {
            mergeAboutSelf(now, update);
            return null;
        }
        MemberTable.Entry entry = table.get(update.name());
        if (entry == null) {
            addMember(now, update, isTableExchange);
            return null;
        }
        MemberUpdate current = entry.update;
        if (update.incarnation() - current.incarnation() > MAX_INCARNATION_JUMP) {
            implausibleUpdates++;
            return null;
        }
        if (!update.isSameIncarnationAs(current) && !update.isLaterThan(current)) {
            return null;
        }
        return mergeIntoEntry(now, current, update, isTableExchange);
    }

    private void addMember(double now, MemberUpdate update, boolean isTableExchange) {
        boolean isRelevant =
                update.state().isPresent()
                        || (isTableExchange && update.ageMs() < settings.forgetAfterMs());
        if (isRelevant && update.profile() != null) {
            store(now, null, update);
            if (update.state() == MemberState.SUSPECT) {
                recordSuspicion(now, update);
            }
        }
    }

    /** Merges an update of the same incarnation as the current one, or a later one. */
    private String mergeIntoEntry(
            double now, MemberUpdate current, MemberUpdate update, boolean isTableExchange) {
        boolean isLater = !update.isSameIncarnationAs(current);
        switch (update.state()) {
            case ALIVE -> mergeAlive(now, current, update, isLater);
            case SUSPECT -> {
                if (isLater || current.state().isPresent()) {
                    return mergeSuspicion(now, current, update, isLater);
                }
            }
            case DEAD -> mergeDeath(now, current, update, isTableExchange);
            case LEFT -> {
                if (isLater || current.state() != MemberState.LEFT) {
                    suspicionTimers.clear(update.name());
                    store(now, current, update);
                    viewConvergence.removeMember(update.name());
                }
            }
            default -> throw new IllegalStateException("unknown member state: " + update.state());
        }
        return null;
    }

    private void mergeAlive(
            double now, MemberUpdate current, MemberUpdate update, boolean isLater) {
        if (isLater) {
            suspicionTimers.clear(update.name());
            store(now, current, update);
        } else if (current.profile() == null && update.profile() != null) {
            table.put(now, update.withState(current.state(), current.suspectedBy()));
        }
    }

    private void mergeAboutSelf(double now, MemberUpdate update) {
        if (localMember.successor() != null) {
            return;
        }
        long incarnationBefore = localMember.currentUpdate().incarnation();
        boolean mustRefute = localMember.onUpdate(update);
        if (localMember.successor() != null) {
            table.put(now, update);
            host.log(
                    "Membership superseded by another process of this name: name="
                            + localMember.name
                            + ", successorAddress="
                            + localMember.successor().address());
            return;
        }
        if (mustRefute) {
            boolean isSuspected =
                    update.run() == localMember.run
                            && localMember.currentUpdate().incarnation() != incarnationBefore;
            if (isSuspected) {
                // The suspicion may have been caused by slow answers of this process.
                state.localHealth().degrade(1);
            }
            disseminateSelf(now);
        }
    }

    /** Stores this process's current update about itself, and queues it for gossip. */
    void disseminateSelf(double now) {
        MemberUpdate update = localMember.currentUpdate();
        table.put(now, update);
        state.gossipQueue().enqueue(update);
    }

    /** Suspects a member, as a probe got no acknowledgement, neither directly nor by a proxy. */
    void onProbeFailed(double now, String name, long run) {
        MemberTable.Entry entry = table.get(name);
        if (entry != null && entry.update.run() == run && entry.isPresent()) {
            MemberUpdate suspicion = entry.update.withState(MemberState.SUSPECT, localMember.name);
            mergeSuspicion(now, entry.update, suspicion, false);
        }
    }

    /** Returns the suspect's name if this process should probe it itself, else null. */
    private String mergeSuspicion(
            double now, MemberUpdate current, MemberUpdate update, boolean isLater) {
        if (isLater) {
            suspicionTimers.clear(update.name());
        }
        boolean isFirst = isLater || current.state() != MemberState.SUSPECT;
        if (isFirst) {
            store(now, current, update);
        }
        if (recordSuspicion(now, update) && !isFirst) {
            state.gossipQueue().enqueue(update);
        }
        // A few members probe the suspect themselves, so that several detect a failure early, and a
        // false suspicion is refuted early.
        boolean shouldProbe =
                isFirst
                        && !update.suspectedBy().equals(localMember.name)
                        && state.random().nextDouble() * table.presentCount()
                                < EXTRA_PROBES_PER_CONFIRMATION * settings.confirmations();
        return shouldProbe ? update.name() : null;
    }

    private boolean recordSuspicion(double now, MemberUpdate update) {
        int otherMembers = Math.max(0, table.presentCount() - 2);
        return suspicionTimers.suspect(now, update.name(), update.suspectedBy(), otherMembers);
    }

    private void mergeDeath(
            double now, MemberUpdate current, MemberUpdate update, boolean isTableExchange) {
        boolean isLater = !update.isSameIncarnationAs(current);
        boolean confirmsSuspicion = !isLater && current.state() == MemberState.SUSPECT;
        boolean isTrusted = !isTableExchange || isLongDead(update);
        if (confirmsSuspicion && isTrusted) {
            suspicionTimers.clear(update.name());
            store(now, current, update);
        } else if (isLater && !current.state().isPresent()) {
            store(now, current, update);
        } else if (isLater || current.state().isPresent()) {
            // This process did not suspect the member: give it time to refute the suspicion.
            mergeSuspicion(now, current, update.withState(MemberState.SUSPECT, ""), isLater);
            if (!isTableExchange) {
                suspicionTimers.onReportedDead(now, update.name());
            }
        }
    }

    /**
     * Whether others declared a member dead longer ago than a suspicion lasts, and this process
     * suspects it by its own probe too.
     */
    private boolean isLongDead(MemberUpdate death) {
        return death.ageMs() >= settings.maxSuspicionMs()
                && suspicionTimers.isSuspectedBy(death.name(), localMember.name);
    }

    /** Declares suspects dead that did not refute the suspicion in time. */
    void expireSuspicions(double now) {
        for (String name : suspicionTimers.removeExpired(now)) {
            MemberTable.Entry entry = table.get(name);
            if (entry != null && entry.update.state() == MemberState.SUSPECT) {
                MemberUpdate death = entry.update.withState(MemberState.DEAD, localMember.name);
                store(now, entry.update, death);
            }
        }
    }

    /** Removes members that have been dead or left for longer than the setting allows. */
    void removeForgotten(double now) {
        table.entries().stream()
                .filter(entry -> isForgotten(now, entry))
                .map(entry -> entry.update.name())
                .toList()
                .forEach(
                        name -> {
                            table.remove(name);
                            state.gossipQueue().remove(name);
                            viewConvergence.removeMember(name);
                        });
    }

    private boolean isForgotten(double now, MemberTable.Entry entry) {
        return !entry.isPresent()
                && now - entry.sinceMs > settings.forgetAfterMs()
                && !entry.update.name().equals(localMember.name);
    }

    /** Stores an update in the table, queues it for gossip, and notifies the host. */
    private void store(double now, MemberUpdate previous, MemberUpdate update) {
        boolean wasPresent = previous != null && previous.state().isPresent();
        table.put(now, update);
        MemberUpdate stored = table.get(update.name()).update;
        state.gossipQueue().enqueue(stored);
        boolean isOtherProcess = previous == null || previous.run() != update.run();
        if (wasPresent != update.state().isPresent() || isOtherProcess) {
            viewConvergence.onViewChanged(now);
        }
        host.onMemberChanged(previous, stored);
    }

    /** Number of updates that were rejected because of an implausible incarnation. */
    long implausibleUpdates() {
        return implausibleUpdates;
    }
}
