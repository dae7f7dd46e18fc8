package poppynotch.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What happens in a play: drawn so that no more core machines count as lost at once than the size
 * tolerates, but for disruptions of the whole core, which lose no disk.
 *
 * @param seed what all else in the play is drawn from
 */
public record FaultSchedule(long seed, ClusterSize size, List<FaultInjection> disruptions) {

    /** A machine counts as lost for so long after it is back. */
    static final long CATCH_UP_MS = 4000;

    /** After a disruption of the whole core no disk is lost for so long. */
    private static final long RECOVER_MS = 12_000;

    /** A place among the acceptors is handed on within this time. */
    private static final long LEAVE_MS = 2500;

    /** What strikes with an acknowledgement does so within this time. */
    static final long ARMED_MS = 2000;

    /** The last disruption begins before this time. */
    static final long END_MS = 32_000;

    private static final long FIRST_MS = 3000;
    private static final int MOST = 14;
    private static final long[] DURATIONS_MS = {200, 500, 900, 1500, 2500, 4000, 8000, 20_000};

    public FaultSchedule {
        disruptions = List.copyOf(disruptions);
    }

    /** Draws a schedule. */
    public static FaultSchedule draw(long seed) {
        return draw(seed, ClusterSize.of(seed), FaultInjection.Kind.values());
    }

    /** Draws a schedule of some kinds of disruptions. */
    static FaultSchedule draw(long seed, ClusterSize size, FaultInjection.Kind... kinds) {
        SplittableRandom random = new SplittableRandom(seed * 31 + 17);
        List<FaultInjection> drawn = new ArrayList<>();
        int count = 2 + random.nextInt(MOST);
        for (int i = 0; i < count; i++) {
            FaultInjection.Kind kind = kinds[random.nextInt(kinds.length)];
            long at = FIRST_MS + random.nextInt((int) (END_MS - FIRST_MS));
            FaultInjection next =
                    new FaultInjection(
                            at,
                            kind,
                            random.nextInt(size.cores()),
                            DURATIONS_MS[random.nextInt(DURATIONS_MS.length)]);
            if (fits(drawn, next, size)) {
                drawn.add(next);
            }
        }
        drawn.sort(Comparator.comparingLong(FaultInjection::atMs));
        return new FaultSchedule(seed, size, drawn);
    }

    /** From when on a disruption's machine counts no longer as lost. */
    private static long lostUntilMs(FaultInjection disruption) {
        long lasts =
                switch (disruption.kind()) {
                    case TERMINATE, REPLACE_PLANNED -> disruption.forMs() + LEAVE_MS;
                    case SERVER_ENDS_THEN_KILL, ORDER_THEN_KILL -> disruption.forMs() + ARMED_MS;
                    default -> disruption.forMs();
                };
        long catchUp = disruption.kind().isOfAll() ? RECOVER_MS : CATCH_UP_MS;
        return disruption.atMs() + lasts + catchUp;
    }

    private static boolean fits(List<FaultInjection> drawn, FaultInjection next, ClusterSize size) {
        boolean apart =
                drawn.stream()
                        .filter(other -> mustBeApart(other.kind(), next.kind()))
                        .noneMatch(other -> overlap(other, next));
        if (!next.kind().losesMachine()) {
            return apart;
        }
        List<FaultInjection> lost =
                drawn.stream()
                        .filter(other -> other.kind().losesMachine() && overlap(other, next))
                        .toList();
        boolean sameMachine = lost.stream().anyMatch(other -> other.target() == next.target());
        return apart && !sameMachine && lost.size() < size.tolerated();
    }

    /** Where the whole core is in trouble no disk is lost, but for the one that belongs to it. */
    private static boolean mustBeApart(FaultInjection.Kind one, FaultInjection.Kind other) {
        boolean behind = one == FaultInjection.Kind.BEHIND || other == FaultInjection.Kind.BEHIND;
        boolean bothOfCore = isOfCore(one) && isOfCore(other);
        boolean diskAndAll =
                one.losesDisk() && other.isOfAll() || one.isOfAll() && other.losesDisk();
        return behind && bothOfCore || diskAndAll;
    }

    private static boolean isOfCore(FaultInjection.Kind kind) {
        return kind.losesMachine() || kind.isOfAll();
    }

    private static boolean overlap(FaultInjection one, FaultInjection other) {
        return one.atMs() < lostUntilMs(other) && other.atMs() < lostUntilMs(one);
    }

    /** The same without one of the disruptions. */
    FaultSchedule without(int index) {
        List<FaultInjection> fewer = new ArrayList<>(disruptions);
        fewer.remove(index);
        return new FaultSchedule(seed, size, fewer);
    }
}
