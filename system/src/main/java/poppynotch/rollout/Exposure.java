package poppynotch.rollout;

import java.util.List;

/** Which attempts of a service's requests may go to the version that is being rolled out. */
public sealed interface Exposure {

    /** None: no attempt goes there. */
    record None() implements Exposure {}

    /**
     * A number of attempts since the roll-out began, divided among some edges. An edge that ends
     * takes what it has not used with it.
     *
     * @param attempts of all edges together
     * @param edgeIncarnations the processes that may use them, in the order by which the remainder
     *     of an even division goes to the first ones
     * @param serverIds the servers that take them
     */
    record AttemptBudget(long attempts, List<Long> edgeIncarnations, List<String> serverIds)
            implements Exposure {
        public AttemptBudget {
            edgeIncarnations = List.copyOf(edgeIncarnations);
            serverIds = List.copyOf(serverIds);
        }

        /** How many of the attempts an edge may make; 0 if it is not among those that may. */
        public long attemptsOf(long edgeIncarnation) {
            int index = edgeIncarnations.indexOf(edgeIncarnation);
            if (index < 0) {
                return 0;
            }
            long evenShare = attempts / edgeIncarnations.size();
            return evenShare + (index < attempts % edgeIncarnations.size() ? 1 : 0);
        }
    }

    /**
     * A fraction of the attempts at every edge, once the version has proven itself.
     *
     * @param permille the fraction in thousandths, 1 to {@link #ALL_PERMILLE}
     */
    record Share(int permille) implements Exposure {

        /** All attempts. */
        public static final int ALL_PERMILLE = 1000;

        /** Whether all attempts go to the new version. */
        public boolean isAll() {
            return permille >= ALL_PERMILLE;
        }
    }
}
