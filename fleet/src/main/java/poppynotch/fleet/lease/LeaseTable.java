package poppynotch.fleet.lease;

import java.util.Map;
import java.util.TreeMap;

/**
 * Who has each duty, by the keepers' log: the same log gives every keeper the same ledger. No time
 * is in it; the leader's clock decides when it asks for {@link LeaseCommand.Kind#EXPIRE}. Tokens of
 * a duty only grow, over all its holders, and a repeated command does no more than the first.
 */
public final class LeaseTable {

    /** More duties than this are a fault of whoever names them. */
    public static final int MOST_DUTIES = 256;

    /**
     * The keepers' group has this many tokens before the next group's begin; see {@link
     * #Ledger(long)}.
     */
    private static final int GROUP_SHIFT = 40;

    /**
     * One duty.
     *
     * @param holder who has it, or empty
     * @param run which process of that name
     * @param token of the last grant; 0 for none
     * @param renewal grows with each renewal
     * @param wanted who is to have it next, as operators say, or empty
     */
    public record Lease(String holder, long run, long token, long renewal, String wanted) {
        static final Lease FREE = new Lease("", 0, 0, 0, "");

        /** Whether nobody has it. */
        public boolean isFree() {
            return holder.isEmpty();
        }

        boolean isOf(LeaseCommand command) {
            return holder.equals(command.member()) && run == command.run();
        }
    }

    /**
     * What came of a command.
     *
     * @param done whether it is so now: the duty is the asker's, or no longer; a move is noted
     * @param duty as it is now
     */
    public record Outcome(boolean done, Lease duty) {}

    private final Map<String, Lease> duties = new TreeMap<>();
    private final long firstToken;

    /**
     * An empty ledger.
     *
     * @param group grows each time that operators found the group anew after its log was lost, so
     *     that its tokens come after all that were granted before
     */
    public LeaseTable(long group) {
        firstToken = group << GROUP_SHIFT;
    }

    /** Carries out a command. */
    public Outcome apply(LeaseCommand command) {
        Lease duty = duties.getOrDefault(command.duty(), Lease.FREE);
        if (!duties.containsKey(command.duty()) && duties.size() >= MOST_DUTIES) {
            return new Outcome(false, duty);
        }
        boolean current = !duty.isFree() && duty.token() == command.token();
        return switch (command.kind()) {
            case ACQUIRE -> acquire(command, duty);
            case RENEW ->
                    current && duty.isOf(command)
                            ? put(command, renewed(duty))
                            : new Outcome(false, duty);
            case RELEASE ->
                    current && duty.isOf(command)
                            ? put(command, freed(duty))
                            // Asked again, or over already: either way it is so.
                            : new Outcome(true, duty);
            case EXPIRE ->
                    current && duty.renewal() == command.renewal()
                            ? put(command, freed(duty))
                            : new Outcome(false, duty);
            case MOVE ->
                    put(
                            command,
                            new Lease(
                                    duty.holder(),
                                    duty.run(),
                                    duty.token(),
                                    duty.renewal(),
                                    duty.holder().equals(command.member())
                                            ? ""
                                            : command.member()));
            case LOOK -> new Outcome(true, duty);
        };
    }

    private Outcome acquire(LeaseCommand command, Lease duty) {
        if (duty.isOf(command)) {
            return put(command, renewed(duty));
        }
        if (!duty.isFree() || !duty.wanted().isEmpty() && !duty.wanted().equals(command.member())) {
            return new Outcome(false, duty);
        }
        return put(
                command,
                new Lease(
                        command.member(),
                        command.run(),
                        Math.max(duty.token(), firstToken) + 1,
                        1,
                        ""));
    }

    private static Lease renewed(Lease duty) {
        return new Lease(
                duty.holder(), duty.run(), duty.token(), duty.renewal() + 1, duty.wanted());
    }

    private static Lease freed(Lease duty) {
        return new Lease("", 0, duty.token(), duty.renewal() + 1, duty.wanted());
    }

    private Outcome put(LeaseCommand command, Lease duty) {
        duties.put(command.duty(), duty);
        return new Outcome(true, duty);
    }

    /** All duties by name. */
    public Map<String, Lease> duties() {
        return new TreeMap<>(duties);
    }

    /** Takes over what another keeper's ledger holds. */
    public void restore(Map<String, Lease> held) {
        duties.clear();
        duties.putAll(held);
    }
}
