package poppynotch.fleet.membership;

import java.util.random.RandomGenerator;

/** Weighs what is told of members against what is held of them. */
final class UpdateMerger {

    /** A claim further ahead than this of what is held is a fault of whoever makes it. */
    private static final long MAX_INCARNATION_JUMP = 100_000;

    private final SwimSettings settings;
    private final LocalMember localMember;
    private final MemberTable table;
    private final GossipQueue gossipQueue;
    private final SuspicionTimers suspicionTimers;
    private final LocalHealth localHealth;
    private final ViewConvergence viewConvergence;
    private final MessageSender messageSender;
    private final RandomGenerator random;
    private long implausibleUpdates;

    UpdateMerger(
            SwimSettings tuning,
            LocalMember self,
            MemberTable table,
            GossipQueue rumours,
            SuspicionTimers suspicions,
            LocalHealth health,
            ViewConvergence agreement,
            MessageSender port,
            RandomGenerator random) {
        this.settings = tuning;
        this.localMember = self;
        this.table = table;
        this.gossipQueue = rumours;
        this.suspicionTimers = suspicions;
        this.localHealth = health;
        this.viewConvergence = agreement;
        this.messageSender = port;
        this.random = random;
    }

    /**
     * Takes up one claim.
     *
     * @param whole it comes with an exchange of whole tables, which may be old: a death in it is
     *     only a suspicion that the member may speak against, and a member long gone is still to be
     *     known
     * @return the name of a suspect that this process should look at itself, else null
     */
    String merge(double now, MemberUpdate told, boolean whole) {
        if (told.name().equals(localMember.name)) {
            mergeAboutSelf(now, told);
            return null;
        }
        MemberTable.Entry entry = table.get(told.name());
        if (entry == null) {
            boolean worthKeeping =
                    told.state().isPresent() || whole && told.ageMs() < settings.forgetMs();
            if (worthKeeping && told.profile() != null) {
                store(now, null, told);
                if (told.state() == MemberState.SUSPECT) {
                    recordSuspicion(now, told, told.by());
                }
            }
            return null;
        }
        MemberUpdate held = entry.update;
        if (told.incarnation() - held.incarnation() > MAX_INCARNATION_JUMP) {
            implausibleUpdates++;
            return null;
        }
        if (!told.isSameIncarnationAs(held) && !told.isLaterThan(held)) {
            return null;
        }
        boolean later = !told.isSameIncarnationAs(held);
        switch (told.state()) {
            case ALIVE -> {
                if (later) {
                    suspicionTimers.clear(told.name());
                    store(now, held, told);
                } else if (held.profile() == null && told.profile() != null) {
                    table.put(now, told.withState(held.state(), held.by()));
                }
            }
            case SUSPECT -> {
                if (later || held.state().isPresent()) {
                    return mergeSuspicion(now, held, told, later);
                }
            }
            case DEAD -> mergeDeath(now, held, told, later, whole);
            case LEFT -> {
                if (later || held.state() != MemberState.LEFT) {
                    suspicionTimers.clear(told.name());
                    store(now, held, told);
                    viewConvergence.removeMember(told.name());
                }
            }
            default -> throw new IllegalStateException("no such state: " + told.state());
        }
        return null;
    }

    private void mergeAboutSelf(double now, MemberUpdate told) {
        if (localMember.successor() != null) {
            return;
        }
        long before = localMember.currentUpdate().incarnation();
        boolean answer = localMember.onUpdate(told);
        if (localMember.successor() != null) {
            table.put(now, told);
            messageSender.say(
                    "another process of this name is the member now, at "
                            + localMember.successor().address());
            return;
        }
        if (answer) {
            if (told.run() == localMember.run
                    && localMember.currentUpdate().incarnation() != before) {
                // Whoever has to speak up for itself may have been slow to answer.
                localHealth.degrade(1);
            }
            disseminateSelf(now);
        }
    }

    /** Tells all what this process is. */
    void disseminateSelf(double now) {
        MemberUpdate claim = localMember.currentUpdate();
        table.put(now, claim);
        gossipQueue.enqueue(claim);
    }

    /** This process got no answer from a member, by itself or through others. */
    void onProbeFailed(double now, String name, long run) {
        MemberTable.Entry entry = table.get(name);
        if (entry != null && entry.update.run() == run && entry.update.state().isPresent()) {
            mergeSuspicion(
                    now,
                    entry.update,
                    entry.update.withState(MemberState.SUSPECT, localMember.name),
                    false);
        }
    }

    private String mergeSuspicion(double now, MemberUpdate held, MemberUpdate told, boolean later) {
        if (later) {
            suspicionTimers.clear(told.name());
        }
        boolean first = later || held.state() != MemberState.SUSPECT;
        if (first) {
            store(now, held, told);
        }
        if (recordSuspicion(now, told, told.by()) && !first) {
            gossipQueue.enqueue(told);
        }
        // A few look for themselves, so that a death is known by several soon and a mistake ends
        // soon.
        boolean look =
                first
                        && !told.by().equals(localMember.name)
                        && random.nextDouble() * table.presentCount()
                                < 2.0 * settings.confirmations();
        return look ? told.name() : null;
    }

    private boolean recordSuspicion(double now, MemberUpdate told, String by) {
        return suspicionTimers.suspect(now, told.name(), by, Math.max(0, table.presentCount() - 2));
    }

    private void mergeDeath(
            double now, MemberUpdate held, MemberUpdate told, boolean later, boolean whole) {
        // Held dead by others for longer than a suspect has, and silent to this process too.
        boolean longDead =
                told.ageMs() >= settings.suspicionMaxMs()
                        && suspicionTimers.isSuspectedBy(told.name(), localMember.name);
        if (!later && held.state() == MemberState.SUSPECT && (!whole || longDead)) {
            suspicionTimers.clear(told.name());
            store(now, held, told);
        } else if (later || held.state().isPresent()) {
            // Nobody here suspected it: it shall have a chance to speak, unless it is long known.
            if (later && !held.state().isPresent()) {
                store(now, held, told);
                return;
            }
            mergeSuspicion(now, held, told.withState(MemberState.SUSPECT, ""), later);
            if (!whole) {
                suspicionTimers.onReportedDead(now, told.name());
            }
        }
    }

    /** The time of suspects is over, and who has been dead or gone for long is forgotten. */
    void expireSuspicions(double now) {
        for (String name : suspicionTimers.removeExpired(now)) {
            MemberTable.Entry entry = table.get(name);
            if (entry != null && entry.update.state() == MemberState.SUSPECT) {
                store(
                        now,
                        entry.update,
                        entry.update.withState(MemberState.DEAD, localMember.name));
            }
        }
    }

    void removeForgotten(double now) {
        table.entries().stream()
                .filter(
                        entry ->
                                !entry.update.state().isPresent()
                                        && now - entry.sinceMs > settings.forgetMs()
                                        && !entry.update.name().equals(localMember.name))
                .map(entry -> entry.update.name())
                .toList()
                .forEach(
                        name -> {
                            table.remove(name);
                            gossipQueue.remove(name);
                            viewConvergence.removeMember(name);
                        });
    }

    private void store(double now, MemberUpdate held, MemberUpdate told) {
        boolean was = held != null && held.state().isPresent();
        table.put(now, told);
        gossipQueue.enqueue(table.get(told.name()).update);
        boolean other = held == null || held.run() != told.run();
        if (was != told.state().isPresent() || other) {
            viewConvergence.onViewChanged(now);
        }
        messageSender.changed(held, table.get(told.name()).update);
    }

    /** Claims that no member can have made in good order. */
    long implausibleUpdates() {
        return implausibleUpdates;
    }
}
