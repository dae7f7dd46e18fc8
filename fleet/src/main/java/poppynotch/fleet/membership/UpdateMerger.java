package poppynotch.fleet.membership;

import java.util.random.RandomGenerator;

/** Weighs what is told of members against what is held of them. */
final class UpdateMerger {

    /** A claim further ahead than this of what is held is a fault of whoever makes it. */
    private static final long LONGEST_LEAP = 100_000;

    private final SwimSettings tuning;
    private final LocalMember self;
    private final MemberTable table;
    private final GossipQueue rumours;
    private final SuspicionTimers suspicions;
    private final LocalHealth health;
    private final ViewConvergence agreement;
    private final MessageSender port;
    private final RandomGenerator random;
    private long implausible;

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
        this.tuning = tuning;
        this.self = self;
        this.table = table;
        this.rumours = rumours;
        this.suspicions = suspicions;
        this.health = health;
        this.agreement = agreement;
        this.port = port;
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
    String hear(double now, MemberUpdate told, boolean whole) {
        if (told.name().equals(self.name)) {
            hearOfSelf(now, told);
            return null;
        }
        MemberTable.Entry entry = table.get(told.name());
        if (entry == null) {
            boolean worthKeeping =
                    told.state().isPresent() || whole && told.ageMs() < tuning.forgetMs();
            if (worthKeeping && told.profile() != null) {
                put(now, null, told);
                if (told.state() == MemberState.SUSPECT) {
                    accuse(now, told, told.by());
                }
            }
            return null;
        }
        MemberUpdate held = entry.held;
        if (told.incarnation() - held.incarnation() > LONGEST_LEAP) {
            implausible++;
            return null;
        }
        if (!told.isOfSameAs(held) && !told.isLaterThan(held)) {
            return null;
        }
        boolean later = !told.isOfSameAs(held);
        switch (told.state()) {
            case ALIVE -> {
                if (later) {
                    suspicions.clear(told.name());
                    put(now, held, told);
                } else if (held.profile() == null && told.profile() != null) {
                    table.put(now, told.as(held.state(), held.by()));
                }
            }
            case SUSPECT -> {
                if (later || held.state().isPresent()) {
                    return suspect(now, held, told, later);
                }
            }
            case DEAD -> hearOfDeath(now, held, told, later, whole);
            case LEFT -> {
                if (later || held.state() != MemberState.LEFT) {
                    suspicions.clear(told.name());
                    put(now, held, told);
                    agreement.drop(told.name());
                }
            }
            default -> throw new IllegalStateException("no such state: " + told.state());
        }
        return null;
    }

    private void hearOfSelf(double now, MemberUpdate told) {
        if (self.successor() != null) {
            return;
        }
        long before = self.claim().incarnation();
        boolean answer = self.hear(told);
        if (self.successor() != null) {
            table.put(now, told);
            port.say(
                    "another process of this name is the member now, at "
                            + self.successor().address());
            return;
        }
        if (answer) {
            if (told.run() == self.run && self.claim().incarnation() != before) {
                // Whoever has to speak up for itself may have been slow to answer.
                health.worse(1);
            }
            sayOfSelf(now);
        }
    }

    /** Tells all what this process is. */
    void sayOfSelf(double now) {
        MemberUpdate claim = self.claim();
        table.put(now, claim);
        rumours.tell(claim);
    }

    /** This process got no answer from a member, by itself or through others. */
    void noAnswer(double now, String name, long run) {
        MemberTable.Entry entry = table.get(name);
        if (entry != null && entry.held.run() == run && entry.held.state().isPresent()) {
            suspect(now, entry.held, entry.held.as(MemberState.SUSPECT, self.name), false);
        }
    }

    private String suspect(double now, MemberUpdate held, MemberUpdate told, boolean later) {
        if (later) {
            suspicions.clear(told.name());
        }
        boolean first = later || held.state() != MemberState.SUSPECT;
        if (first) {
            put(now, held, told);
        }
        if (accuse(now, told, told.by()) && !first) {
            rumours.tell(told);
        }
        // A few look for themselves, so that a death is known by several soon and a mistake ends
        // soon.
        boolean look =
                first
                        && !told.by().equals(self.name)
                        && random.nextDouble() * table.present() < 2.0 * tuning.confirmations();
        return look ? told.name() : null;
    }

    private boolean accuse(double now, MemberUpdate told, String by) {
        return suspicions.accuse(now, told.name(), by, Math.max(0, table.present() - 2));
    }

    private void hearOfDeath(
            double now, MemberUpdate held, MemberUpdate told, boolean later, boolean whole) {
        // Held dead by others for longer than a suspect has, and silent to this process too.
        boolean longDead =
                told.ageMs() >= tuning.suspicionMaxMs()
                        && suspicions.isAccusedBy(told.name(), self.name);
        if (!later && held.state() == MemberState.SUSPECT && (!whole || longDead)) {
            suspicions.clear(told.name());
            put(now, held, told);
        } else if (later || held.state().isPresent()) {
            // Nobody here suspected it: it shall have a chance to speak, unless it is long known.
            if (later && !held.state().isPresent()) {
                put(now, held, told);
                return;
            }
            suspect(now, held, told.as(MemberState.SUSPECT, ""), later);
            if (!whole) {
                suspicions.condemn(now, told.name());
            }
        }
    }

    /** The time of suspects is over, and who has been dead or gone for long is forgotten. */
    void timeOver(double now) {
        for (String name : suspicions.due(now)) {
            MemberTable.Entry entry = table.get(name);
            if (entry != null && entry.held.state() == MemberState.SUSPECT) {
                put(now, entry.held, entry.held.as(MemberState.DEAD, self.name));
            }
        }
    }

    void forget(double now) {
        table.all().stream()
                .filter(
                        entry ->
                                !entry.held.state().isPresent()
                                        && now - entry.sinceMs > tuning.forgetMs()
                                        && !entry.held.name().equals(self.name))
                .map(entry -> entry.held.name())
                .toList()
                .forEach(
                        name -> {
                            table.remove(name);
                            rumours.forget(name);
                            agreement.drop(name);
                        });
    }

    private void put(double now, MemberUpdate held, MemberUpdate told) {
        boolean was = held != null && held.state().isPresent();
        table.put(now, told);
        rumours.tell(table.get(told.name()).held);
        boolean other = held == null || held.run() != told.run();
        if (was != told.state().isPresent() || other) {
            agreement.changed(now);
        }
        port.changed(held, table.get(told.name()).held);
    }

    /** Claims that no member can have made in good order. */
    long implausible() {
        return implausible;
    }
}
