package poppynotch.fleet.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * One process's duties: it asks the keepers for those that it wants, renews what it has, and
 * believes that it has one only for as long as its own clock says so, counted from before it asked.
 * It does no I/O and is told the time; after a pause the first look at the clock ends what is over.
 */
public final class LeaseClient {

    /**
     * A question to one keeper.
     *
     * @param preference how much this process should have it; the lower goes first
     */
    public record Question(String keeper, LeaseCommand command, int preference) {}

    /**
     * A keeper's answer.
     *
     * @param done as {@link DayScore.AttemptOutcome#done}; false where the keeper does not lead
     * @param duty as it is where it is done; else as the keeper holds it, which may be old; null
     *     where the keeper does not lead
     * @param leader who leads, as far as that keeper knows; empty for nobody
     */
    public record Answer(boolean done, LeaseTable.Lease duty, String leader) {}

    /** Sends questions, and hears what becomes of duties. */
    public interface Port {
        /**
         * Sends a question; returns the number under which its answer comes, or below 0 for not
         * sent.
         */
        long ask(Question question);

        /**
         * This process has a duty from now on, under a token higher than all before; it may act.
         */
        default void taken(String duty, long token) {}

        /** It no longer has it: given up, lost or run out. */
        default void ended(String duty, long token, String why) {}
    }

    private static final class Wish {
        int preference;
        boolean wanted;
        long token;
        double untilMs = Double.NEGATIVE_INFINITY;
        double askMs;

        /** The open question, what it was and when it was sent. */
        long sequence = -1;

        LeaseCommand asked;
        double sentMs;

        /** It is given back, and no keeper has said that it is. */
        boolean releasing;

        int releases;
        LeaseTable.Lease seen = LeaseTable.Lease.FREE;
    }

    /**
     * So often a duty is given back, to one keeper after the other: for as long as its time would
     * run by itself, which an election of the keepers does not outlast.
     */
    private static final int RELEASES = 20;

    private final LeaseSettings terms;
    private final String member;
    private final long run;
    private final List<String> keepers;
    private final RandomGenerator random;
    private final Port port;
    private final Map<String, Wish> wishes = new TreeMap<>();
    private String leader;

    /**
     * Wants nothing yet.
     *
     * @param run which process of this name; drawn at its start
     * @param keepers their names in the fleet, at least one
     */
    public LeaseClient(
            LeaseSettings terms,
            String member,
            long run,
            List<String> keepers,
            RandomGenerator random,
            Port port) {
        this.terms = terms;
        this.member = member;
        this.run = run;
        this.keepers = List.copyOf(keepers);
        this.random = random;
        this.port = port;
        leader = keepers.get(random.nextInt(keepers.size()));
    }

    /** Wants a duty, with a preference: of those who ask for a free one the lowest goes first. */
    public void want(double now, String duty, int preference) {
        Wish wish = wishes.computeIfAbsent(duty, d -> new Wish());
        wish.preference = preference;
        if (!wish.wanted) {
            wish.wanted = true;
            wish.askMs = now;
        }
    }

    /** Wants it no longer, as when it ends or is on standby; what it has goes back at once. */
    public void unwant(double now, String duty) {
        Wish wish = wishes.get(duty);
        if (wish != null && wish.wanted) {
            wish.wanted = false;
            giveUp(now, duty, wish, "given up");
        }
    }

    private void giveUp(double now, String duty, Wish wish, String why) {
        boolean had = wish.untilMs != Double.NEGATIVE_INFINITY;
        wish.untilMs = Double.NEGATIVE_INFINITY;
        if (had) {
            port.ended(duty, wish.token, why);
            release(now, duty, wish);
        }
    }

    private void release(double now, String duty, Wish wish) {
        wish.releasing = true;
        wish.releases = 0;
        send(
                now,
                duty,
                wish,
                new LeaseCommand(LeaseCommand.Kind.RELEASE, duty, member, run, wish.token, 0));
    }

    /**
     * The token under which this process may act for a duty now.
     *
     * @return 0 where it does not have it
     */
    public long token(double now, String duty) {
        Wish wish = wishes.get(duty);
        return wish != null && now < wish.untilMs ? wish.token : 0;
    }

    /** How much longer it may act without a renewal, in milliseconds; 0 where it may not. */
    public double leftMs(double now, String duty) {
        Wish wish = wishes.get(duty);
        return wish == null ? 0 : Math.max(0, wish.untilMs - now);
    }

    /** What it last heard of a duty. */
    public LeaseTable.Lease seen(String duty) {
        return wishes.containsKey(duty) ? wishes.get(duty).seen : LeaseTable.Lease.FREE;
    }

    /** The duties that it has asked for. */
    public List<String> duties() {
        return new ArrayList<>(wishes.keySet());
    }

    /** The keeper that it asks. */
    public String leader() {
        return leader;
    }

    /** Ends what is over, renews, asks. */
    public void advance(double now) {
        wishes.forEach(
                (duty, wish) -> {
                    if (wish.untilMs != Double.NEGATIVE_INFINITY && now >= wish.untilMs) {
                        wish.untilMs = Double.NEGATIVE_INFINITY;
                        port.ended(duty, wish.token, "its time is over");
                    }
                    boolean parked =
                            wish.asked != null && wish.asked.kind() == LeaseCommand.Kind.ACQUIRE;
                    double patience = terms.answerMs() + (parked ? terms.parkMs() : 0);
                    if (wish.sequence >= 0 && now >= wish.sentMs + patience) {
                        wish.sequence = -1;
                        leader = keepers.get(random.nextInt(keepers.size()));
                        wish.askMs = now;
                    }
                    if (wish.sequence >= 0 || now < wish.askMs) {
                        return;
                    }
                    if (wish.releasing && ++wish.releases <= RELEASES) {
                        send(
                                now,
                                duty,
                                wish,
                                new LeaseCommand(
                                        LeaseCommand.Kind.RELEASE,
                                        duty,
                                        member,
                                        run,
                                        wish.token,
                                        0));
                    } else if (wish.wanted) {
                        wish.releasing = false;
                        boolean has = now < wish.untilMs;
                        send(
                                now,
                                duty,
                                wish,
                                has
                                        ? new LeaseCommand(
                                                LeaseCommand.Kind.RENEW,
                                                duty,
                                                member,
                                                run,
                                                wish.token,
                                                0)
                                        : LeaseCommand.acquire(duty, member, run));
                    }
                });
    }

    private void send(double now, String duty, Wish wish, LeaseCommand command) {
        wish.sequence = port.ask(new Question(leader, command, wish.preference));
        wish.asked = command;
        wish.sentMs = now;
        if (wish.sequence < 0) {
            // That keeper is not there: another one, soon.
            leader = keepers.get(random.nextInt(keepers.size()));
            wish.askMs = now + terms.answerMs() * random.nextDouble();
        }
    }

    /** An answer has come; one that fits no open question is nothing. */
    public void told(double now, long sequence, Answer answer) {
        for (Map.Entry<String, Wish> each : wishes.entrySet()) {
            if (each.getValue().sequence == sequence) {
                heard(now, each.getKey(), each.getValue(), answer);
                return;
            }
        }
    }

    private void heard(double now, String duty, Wish wish, Answer answer) {
        wish.sequence = -1;
        LeaseCommand command = wish.asked;
        if (answer.duty() == null) {
            boolean known = keepers.contains(answer.leader()) && !answer.leader().equals(leader);
            leader = known ? answer.leader() : keepers.get(random.nextInt(keepers.size()));
            wish.askMs = now + (known ? 0 : terms.answerMs() * random.nextDouble());
            return;
        }
        wish.seen = answer.duty();
        double until = wish.sentMs + terms.holderMs();
        switch (command.kind()) {
            case ACQUIRE -> {
                if (answer.done()
                        && wish.wanted
                        && until > now
                        && answer.duty().token() >= wish.token) {
                    wish.token = answer.duty().token();
                    wish.untilMs = until;
                    wish.askMs = now + terms.renewMs();
                    port.taken(duty, wish.token);
                } else if (answer.done()) {
                    // Too late to be of use, or no longer wanted.
                    wish.token = answer.duty().token();
                    release(now, duty, wish);
                } else {
                    wish.askMs = now;
                }
            }
            case RENEW -> {
                boolean had = now < wish.untilMs;
                if (answer.done() && had) {
                    wish.untilMs = Math.max(wish.untilMs, until);
                    wish.askMs = now + terms.renewMs();
                    if (!answer.duty().wanted().isEmpty()) {
                        giveUp(
                                now,
                                duty,
                                wish,
                                "operators want it moved to " + answer.duty().wanted());
                    }
                } else {
                    wish.untilMs = Double.NEGATIVE_INFINITY;
                    wish.askMs = now;
                    if (had) {
                        port.ended(duty, wish.token, "another has it");
                    }
                }
            }
            default -> {
                wish.releasing = false;
                wish.askMs = now + terms.staggerMs();
            }
        }
    }

    /** When {@link #advance} is to be called next. */
    public double nextMs() {
        double next = Double.POSITIVE_INFINITY;
        for (Wish wish : wishes.values()) {
            if (wish.untilMs != Double.NEGATIVE_INFINITY) {
                next = Math.min(next, wish.untilMs);
            }
            if (wish.sequence >= 0) {
                boolean parked = wish.asked.kind() == LeaseCommand.Kind.ACQUIRE;
                next =
                        Math.min(
                                next,
                                wish.sentMs + terms.answerMs() + (parked ? terms.parkMs() : 0));
            } else if (wish.wanted || wish.releasing) {
                next = Math.min(next, wish.askMs);
            }
        }
        return next;
    }
}
